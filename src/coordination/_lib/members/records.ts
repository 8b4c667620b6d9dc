/**
 * Helpers that change records of members.
 */
import {
	maxIncarnationAheadMs,
	maxTombstones,
	membersPeriodMs,
	retransmitMultiplier,
	spreadDelayMs,
	suspicionMultiplier,
	tombstoneMs,
} from '../../../protocol/constants.js';
import type {Member, Upstream} from '../../../protocol/member.js';
import {putMembers} from '../../../state/put-members.js';
import {listDepartures} from '../../departures/list-departures.js';
import type {
	MembersEffect,
	MembersState,
	MembersStep,
} from '../../members-state.js';
import {isLive} from './send.js';

/**
 * Counts the members of the local data centre in any state, including this
 * node.
 */
export function countLocalMembers(state: MembersState): number {
	const buckets = state.table.get(state.self.dataCentre) ?? [];
	return buckets.reduce((sum, {members}) => sum + members.size, 1);
}

/**
 * Returns whether a process may have an incarnation, which begins with the time
 * of its start. A node that refuted a higher one would have its own records
 * dropped by the others.
 */
export function isPlausibleIncarnation(
	state: MembersState,
	incarnation: number,
	now: number,
): boolean {
	return incarnation <= now + state.wallOffsetMs + maxIncarnationAheadMs;
}

/** Queues changed records for sending. */
export function markChanged(
	state: MembersState,
	names: readonly string[],
): MembersStep {
	if (names.length === 0) {
		return {state, effects: []};
	}

	const times = Math.ceil(
		retransmitMultiplier * Math.log2(countLocalMembers(state) + 1),
	);
	const pendingUpdates = new Map(
		names.map((name) => [name, Math.max(1, times)] as const),
	);
	for (const [name, remaining] of state.pendingUpdates) {
		if (!pendingUpdates.has(name)) {
			pendingUpdates.set(name, remaining);
		}
	}

	const next = {
		...state,
		pendingUpdates,
		pendingSpread: new Set([...state.pendingSpread, ...names]),
		pendingRelays: new Set([...state.pendingRelays, ...names]),
		isSpreadScheduled: true,
	};
	const effects: MembersEffect[] = state.isSpreadScheduled
		? []
		: [{kind: 'schedule-spread', delayMs: spreadDelayMs}];
	return {state: next, effects};
}

/** Changes this node's record and queues it for sending. */
export function updateSelf(
	state: MembersState,
	change: Partial<Pick<Member, 'state' | 'unreachable'>> & {
		readonly upstreams?: readonly Upstream[];
		readonly incarnation?: number;
	},
): MembersStep {
	const {departures: _before, ...rest} = state.self;
	const departures = listDepartures(state.leases);
	const self = {
		...rest,
		...change,
		sequence: state.self.sequence + 1,
		...(departures.length > 0 && {departures}),
	};
	return markChanged({...state, self}, [self.name]);
}

function computeSuspicionMs(state: MembersState): number {
	const scale = Math.max(1, Math.log10(countLocalMembers(state)));
	return suspicionMultiplier * scale * membersPeriodMs;
}

/**
 * Stores records, updates suspicions and tombstones to match, and queues the
 * records for sending.
 */
export function putRecords(
	state: MembersState,
	records: readonly Member[],
	now: number,
): MembersStep {
	if (records.length === 0) {
		return {state, effects: []};
	}

	const suspicions = new Map(state.suspicions);
	const tombstones = new Map(state.tombstones);
	for (const {name, dataCentre, state: memberState} of records) {
		if (memberState !== 'suspect') {
			suspicions.delete(name);
		} else if (dataCentre === state.self.dataCentre && !suspicions.has(name)) {
			suspicions.set(name, now + computeSuspicionMs(state));
		}

		if (memberState === 'alive' || memberState === 'suspect') {
			tombstones.delete(name);
		} else if (!tombstones.has(name)) {
			tombstones.set(name, now + tombstoneMs);
		}
	}

	const stripped = records.map((member) =>
		isLive(member) ? member : {...member, upstreams: []},
	);
	const excess = [...tombstones.keys()].slice(
		0,
		Math.max(0, tombstones.size - maxTombstones),
	);
	for (const name of excess) {
		tombstones.delete(name);
	}

	return markChanged(
		{
			...state,
			suspicions,
			tombstones,
			table: putMembers(state.table, stripped, excess),
		},
		stripped.map(({name}) => name),
	);
}

/** Removes members whose tombstones have expired. */
export function expireTombstones(
	state: MembersState,
	now: number,
): MembersState {
	const ended = [...state.tombstones].filter(([, endsAt]) => endsAt <= now);
	if (ended.length === 0) {
		return state;
	}

	const names = ended.map(([name]) => name);
	const tombstones = new Map(state.tombstones);
	for (const name of names) {
		tombstones.delete(name);
	}

	return {...state, tombstones, table: putMembers(state.table, [], names)};
}
