/**
 * Types of the state of a node's quarantine: what it knows about requests under
 * which upstreams have crashed.
 */
import type {EncodedCrashRecord} from '../protocol/crash-record.js';

/** A crash of an upstream while it ran a request. */
export type Crash = {
	/** Monotonic ms. */
	readonly at: number;
	/** Whether an upstream has since answered the request. */
	readonly isCleared: boolean;
	/** Software version of the upstream; undefined when it has not announced one. */
	readonly version: string | undefined;
};

/** What a software version has shown since others crashed: its upstreams may run the request once, or have answered it. */
export type VersionStatus = 'announced' | 'answered';

/** What a node knows about one request. */
export type CrashRecord = {
	readonly fingerprint: string;
	/** Full name of the service. */
	readonly service: string;
	/** By identifier of the crash. */
	readonly crashes: ReadonlyMap<string, Crash>;
	/** Status of software versions other than those that have only crashed. */
	readonly versions: ReadonlyMap<string, VersionStatus>;
	/** Random number in [0, 1) that prolongs the quarantine at this node, so that one node tries the request first. */
	readonly jitter: number;
};

/** State of a node's quarantine: records by fingerprint. */
export type QuarantineState = ReadonlyMap<string, CrashRecord>;

/** A request that was running when its upstream crashed. */
export type RunningRequest = {
	readonly fingerprint: string;
	/** Full name of the service. */
	readonly service: string;
};

/** Messages to the quarantine. */
export type QuarantineMessage =
	/** An upstream of this host has crashed. */
	| {
			readonly kind: 'crashed';
			readonly id: string;
			readonly running: readonly RunningRequest[];
			/** Software version of the upstream, if known. */
			readonly version?: string | undefined;
	  }
	/** An upstream has answered a request. */
	| {
			readonly kind: 'completed';
			readonly fingerprint: string;
			/** Software version of the upstream, if known. */
			readonly version?: string | undefined;
	  }
	/** An upstream of this host runs a software version. */
	| {
			readonly kind: 'announced';
			/** Full name of the service. */
			readonly service: string;
			readonly version: string;
	  }
	/** Records of another node. */
	| {
			readonly kind: 'received';
			readonly records: readonly EncodedCrashRecord[];
	  }
	| {readonly kind: 'tick'};

/** State after a message, and the records that it has changed. */
export type QuarantineStep = {
	readonly state: QuarantineState;
	readonly changed: readonly CrashRecord[];
};

/** Whether a request may be sent. */
export type Suspicion =
	| {readonly kind: 'none'}
	/** It may be sent, but not beside another suspect. */
	| {readonly kind: 'suspect'}
	| {
			readonly kind: 'quarantined';
			/** Time until it may be tried again, ms. */
			readonly remainingMs: number;
	  };

/** A request under which no upstream has crashed, or that has been answered since. */
export const noSuspicion: Suspicion = {kind: 'none'};
