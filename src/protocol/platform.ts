/**
 * Types of the calls to the platform's object API and of their outcomes.
 */

/** An object of the platform with its version. */
export type PlatformObject = {
	readonly key: string;
	/** 0 if the platform sent none that can be used; such an object can only be written unconditionally. */
	readonly version: number;
	readonly value: unknown;
	/** Status that is written apart from the value; absent when there is none. */
	readonly status?: unknown;
};

/** Outcome of a read. */
export type ReadOutcome =
	| {readonly kind: 'found'; readonly object: PlatformObject}
	| {readonly kind: 'absent'}
	| {readonly kind: 'unavailable'};

/** Outcome of a conditional write; after `unknown` the write may have taken effect. */
export type WriteOutcome =
	| {readonly kind: 'written'; readonly version: number}
	| {readonly kind: 'conflict'}
	| {readonly kind: 'unavailable'}
	| {readonly kind: 'unknown'};

/** Outcome of a list or a watch. */
export type ListOutcome =
	| {
			readonly kind: 'items';
			readonly items: readonly PlatformObject[];
			/** 0 if the platform sent none that can be used. */
			readonly revision: number;
			readonly more: boolean;
			/** Whether there may be further objects, whose names cannot be read; false by default. */
			readonly hasUnreadable?: boolean;
	  }
	| {readonly kind: 'compacted'}
	| {readonly kind: 'unavailable'};

/** Condition of a write: the object is absent, has a given version, or exists. */
export type WriteCondition =
	| {readonly kind: 'absent'}
	| {readonly kind: 'present'}
	| {readonly kind: 'version'; readonly version: number};

/** A call to the platform, as an effect of a state machine step. */
export type PlatformCall =
	| {readonly kind: 'read'; readonly key: string}
	| {
			readonly kind: 'write';
			readonly key: string;
			readonly value: unknown;
			readonly condition: WriteCondition;
	  }
	| {readonly kind: 'delete'; readonly key: string; readonly version: number}
	| {
			readonly kind: 'list';
			readonly prefix: string;
			readonly after: string;
			readonly limit: number;
	  }
	| {
			readonly kind: 'watch';
			readonly prefix: string;
			readonly after: number;
			readonly waitMs: number;
	  };

/** Outcome of any call to the platform. */
export type PlatformOutcome = ReadOutcome | WriteOutcome | ListOutcome;
