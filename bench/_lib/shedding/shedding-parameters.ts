/**
 * Parameters of the replays of load shedding.
 */

/** Requests of one kind, and what they are worth. */
export type RequestKind = {
	readonly name: string;
	readonly service: string;
	/** Rank; 0 is the highest. */
	readonly priority: number;
	/** Requests of clients per second; 0 for a kind that only upstreams call. */
	readonly perSecond: number;
	/** Mean work at speed 1, ms. */
	readonly workMs: number;
	readonly objectiveMs: number;
	readonly deadlineMs: number;
	readonly worth: number;
	readonly lateWorth: number;
	readonly repeatable: boolean;
	/** Calls that a share of the runs makes, all at once. */
	readonly calls?:
		| {
				readonly kind: string;
				readonly count: number;
				readonly share: number;
		  }
		| undefined;
};

/** One replay. */
export type SheddingScenario = {
	readonly name: string;
	readonly seconds: number;
	/** Hosts of each service. */
	readonly hosts: Readonly<Record<string, number>>;
	readonly kinds: readonly RequestKind[];
	/** Factor of the load at a time, s; 1 when absent. */
	readonly computeLoad?: (atSeconds: number) => number;
	/** Whether speeds change ten times a second, between 0.6 and 1.6. */
	readonly hasUnevenSpeeds?: boolean;
	/** Loss of half of the slots of a service. */
	readonly loss?: {
		readonly service: string;
		readonly fromSeconds: number;
		readonly seconds: number;
	};
	/** Tries that a refused client makes at once; otherwise it comes when it is told to. */
	readonly triesAtOnce?: number;
};

/** `queue`: first come, first served; `before`: without detection of calls; `after`: with it. */
export type SheddingPolicy = 'queue' | 'before' | 'after';

/** Slots of an upstream. */
export const slots = 4;
