import type {VersionChosen} from '../protocol/rollout.js';

/** Versions to which a request may go. */
export type VersionChoice = {
	/** The preferred one first. */
	readonly versions: readonly string[];
	/** Version of which only some hosts get requests. */
	readonly limited:
		{readonly version: string; readonly hosts: number} | undefined;
	/** Whether the next version is to be taken when the preferred one has no capacity. */
	readonly mayFallBack: boolean;
};

/** What the router of a caller's node uses of roll-outs. */
export type VersionPicker = {
	/** Picks the versions of a request; undefined when every upstream of the service may get it. */
	pick(service: string, isRetry: boolean): VersionChoice | undefined;
	/** Records the version that was chosen for a request when it came. */
	recordChoice(chosen: VersionChosen): void;
	/** Records the end of an attempt at a version. */
	recordAttempt(service: string, version: string, isFailed: boolean): void;
};
