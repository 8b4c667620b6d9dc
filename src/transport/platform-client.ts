/**
 * Interface of the platform's object store, as used by the tasks of a node.
 */
import type {
	ListOutcome,
	ReadOutcome,
	WriteCondition,
	WriteOutcome,
} from '../protocol/platform.js';

/** Client of the platform's object API. */
export type PlatformClient = {
	readObject(key: string): Promise<ReadOutcome>;
	writeObject(
		key: string,
		value: unknown,
		condition: WriteCondition,
	): Promise<WriteOutcome>;
	deleteObject(key: string, version: number): Promise<WriteOutcome>;
	listObjects(
		prefix: string,
		after?: string,
		limit?: number,
	): Promise<ListOutcome>;
	watchObjects(
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<ListOutcome>;
	stop(): Promise<void>;
};
