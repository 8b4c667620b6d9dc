import {seedsReadJitterMs, upstreamLeaseMs} from '../protocol/constants.js';
import type {Member} from '../protocol/member.js';
import type {MembersState} from './members-state.js';

/** Options of `createMembersState`. */
export type MembersStateOptions = {
	/** Addresses of the seeds in the settings; none by default. */
	readonly seeds?: readonly string[];
	/**
	 * Wall-clock time, ms; the incarnation of the node's own record by default.
	 */
	readonly wallMs?: number;
	/**
	 * Duration of the lease that an announcement grants, ms; `upstreamLeaseMs` by
	 * default.
	 */
	readonly leaseMs?: number | undefined;
};

/**
 * Creates the membership state of a node that has just started.
 *
 * @param self - the node's own record
 * @param now - monotonic time in ms
 * @param random - a number from 0 up to 1, the jitter of the first read of
 *   the seeds object
 * @param options - see `MembersStateOptions`
 * @returns the initial state
 * @example
 * createMembersState(self, performance.now(), Math.random()).role; // 'joining'
 */
export function createMembersState(
	self: Member,
	now: number,
	random: number,
	options: MembersStateOptions = {},
): MembersState {
	const {seeds = [], wallMs = self.incarnation} = options;
	const {leaseMs = upstreamLeaseMs} = options;
	return {
		self,
		role: 'joining',
		startedMs: wallMs,
		leaseMs,
		startedAt: now,
		wallOffsetMs: wallMs - now,
		table: new Map(),
		suspicions: new Map(),
		tombstones: new Map(),
		pendingUpdates: new Map(),
		pendingSpread: new Set(),
		pendingRelays: new Set(),
		leases: new Map(),
		departures: new Map(),
		probe: undefined,
		probeOrder: [],
		sync: undefined,
		isSyncIncomplete: false,
		contacts: new Map(),
		seeds: {
			configuredAddresses: seeds,
			addresses: seeds,
			localAddresses: [],
			failedAddresses: new Set(),
			failures: 0,
			isAvailable: true,
			memberCount: 0,
			nextReadAt: now + random * seedsReadJitterMs,
			nextJoinAt: now,
			vainWrites: 0,
			nextWriteAt: -Infinity,
			revision: undefined,
			isWatching: false,
		},
		relayedProbes: new Map(),
		rateLimits: {
			bucketWindowStartedAt: now,
			bucketAnswers: 0,
			refutedAt: -Infinity,
			bridgeBypassedAt: -Infinity,
			spreadWindowStartedAt: now,
			spreadRecords: 0,
		},
		nameCheck: undefined,
		lastStepAt: now,
		resumedAt: -Infinity,
		isSpreadScheduled: false,
		isSeeking: false,
	};
}
