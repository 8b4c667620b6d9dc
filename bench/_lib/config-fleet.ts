/**
 * Types of a fleet whose delivery of configuration is measured.
 */

/** Bytes and runtime figures of one node at one moment. */
export type NodeReading = {
	readonly controlBytes: number;
	readonly cpuMs: number;
	readonly rssBytes: number;
};

/** A fleet that delivers configuration in one way. */
export type ConfigFleet = {
	readonly way: string;
	/** What of it is real processes and real sockets. */
	readonly reality: string;
	/** Makes one change of a team; returns when it was accepted, ms. */
	change(team: string): Promise<{number: number; acceptedAt: number}>;
	/** Lists when each node first ran each change or a later one, wall ms. */
	readRuns(): ReadonlyArray<ReadonlyMap<number, number>>;
	readNodes(): Promise<readonly NodeReading[]>;
	readPlatformCalls(): Promise<number>;
	/** Kills and replaces a share of the nodes. */
	restart(share: number): Promise<void>;
	stop(): Promise<void>;
};
