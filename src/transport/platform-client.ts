/**
 * What the tasks of a node ask of the platform's store.
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
