/**
 * Helpers for the leases of the upstreams on this host.
 */
import {
	maxLeasesPerHost,
	maxUpstreamAgeMs,
	maxUpstreamsPerHost,
	upstreamRenewMs,
	upstreamTombstoneMs,
} from '../../../protocol/constants.js';
import type {
	Announcement,
	Departure,
	DepartureRecord,
	Upstream,
} from '../../../protocol/member.js';
import {decodeDepartures} from '../../../state/decode-departures.js';
import {formatService} from '../../../state/format-service.js';
import type {
	MembersState,
	MembersStep,
	UpstreamLease,
} from '../../members-state.js';
import {updateSelf} from './records.js';

/** Returns whether an upstream of a later incarnation has the address. */
function isSuperseded(
	state: MembersState,
	id: string,
	{address, incarnation = 0}: Announcement,
): boolean {
	return [...state.leases].some(
		([otherId, other]) =>
			otherId !== id &&
			other.address === address &&
			other.incarnation > incarnation,
	);
}

/** Finds the upstreams of earlier incarnations that had the address. */
function findSuperseded(
	state: MembersState,
	id: string,
	{address, incarnation = 0}: Announcement,
): ReadonlySet<string> {
	const earlier = [...state.leases].filter(
		([otherId, other]) =>
			otherId !== id &&
			other.address === address &&
			other.state !== 'ended' &&
			other.incarnation < incarnation,
	);
	return new Set(earlier.map(([otherId]) => otherId));
}

function isStale(
	state: MembersState,
	lease: UpstreamLease | undefined,
	announcement: Announcement,
	now: number,
): boolean {
	if (now - state.resumedAt < upstreamRenewMs) {
		return true;
	}

	if (!lease) {
		return state.self.upstreams.length >= maxUpstreamsPerHost;
	}

	const {incarnation = 0, sequence = lease.sequence, address} = announcement;
	if (incarnation !== lease.incarnation) {
		return incarnation < lease.incarnation;
	}

	if (sequence < lease.sequence) {
		return true;
	}

	const hasLeft = lease.state === 'ended' || lease.state === 'leaving';
	const isSame = address === lease.address;
	return hasLeft && isSame && announcement.state === 'ready';
}

function replaceUpstream(
	upstreams: readonly Upstream[],
	next: Upstream,
): readonly Upstream[] {
	return [...upstreams.filter(({id}) => id !== next.id), next];
}

/** Handles an announcement of an upstream or its renewal. */
export function announceUpstream(
	state: MembersState,
	id: string,
	announcement: Announcement,
	now: number,
): MembersStep {
	const lease = state.leases.get(id);
	if (
		state.role === 'left' ||
		isStale(state, lease, announcement, now) ||
		isSuperseded(state, id, announcement)
	) {
		return {state, effects: [{kind: 'announcement', outcome: 'ignored'}]};
	}

	const ended = endLeases(state, findSuperseded(state, id, announcement), now);
	const announced = renewLease(ended.state, id, announcement, now);
	return {
		state: announced.state,
		effects: [...ended.effects, ...announced.effects],
	};
}

/** Computes when an upstream started, monotonic ms; a process that has been restarted gets to know it later. */
function computeStart(
	{wallOffsetMs}: MembersState,
	{startedMs}: Announcement,
	now: number,
): number {
	return startedMs === undefined
		? now
		: Math.max(now - maxUpstreamAgeMs, Math.min(now, startedMs - wallOffsetMs));
}

function renewLease(
	state: MembersState,
	id: string,
	announcement: Announcement,
	now: number,
): MembersStep {
	const lease = state.leases.get(id);
	const {team, service, slots, address, incarnation = 0} = announcement;
	const {sequence = 0, version} = announcement;
	const leases = new Map(state.leases).set(id, {
		endsAt: now + state.leaseMs,
		incarnation,
		address,
		sequence,
		state: announcement.state,
	});
	const current = state.self.upstreams.find((upstream) => upstream.id === id);
	const isSameIncarnation =
		lease?.incarnation === incarnation && lease.address === address;
	const next: Upstream = {
		id,
		service: formatService({team, service}),
		slots,
		state: announcement.state,
		since:
			current && isSameIncarnation
				? current.since
				: computeStart(state, announcement, now),
		...(version !== undefined && {version}),
	};
	const accepted = {
		kind: 'announcement' as const,
		outcome: 'accepted' as const,
	};
	if (current && JSON.stringify(current) === JSON.stringify(next)) {
		return {state: {...state, leases}, effects: [accepted]};
	}

	const changed = updateSelf(
		{...state, leases},
		{upstreams: replaceUpstream(state.self.upstreams, next)},
	);
	return {state: changed.state, effects: [...changed.effects, accepted]};
}

function endLeases(
	state: MembersState,
	ids: ReadonlySet<string>,
	now: number,
): MembersStep {
	const leases = new Map(state.leases);
	for (const id of ids) {
		const lease = leases.get(id);
		if (lease) {
			leases.set(id, {
				...lease,
				endsAt: now + upstreamTombstoneMs,
				state: 'ended',
			});
		}
	}

	const upstreams = state.self.upstreams.filter(({id}) => !ids.has(id));
	if (upstreams.length === state.self.upstreams.length) {
		return {state: {...state, leases}, effects: []};
	}

	return updateSelf({...state, leases}, {upstreams});
}

/**
 * Records the withdrawal of an upstream that a node which has just started does
 * not know, so that a late announcement from before does not add it. It counts as
 * one of an incarnation that has started by now.
 */
function recordWithdrawal(
	state: MembersState,
	id: string,
	now: number,
): MembersStep {
	if (state.leases.size >= maxLeasesPerHost) {
		return {state, effects: []};
	}

	const leases = new Map(state.leases).set(id, {
		endsAt: now + upstreamTombstoneMs,
		incarnation: Math.floor(state.wallOffsetMs + now),
		address: '',
		sequence: 0,
		state: 'ended',
	});
	return updateSelf({...state, leases}, {});
}

/** Handles the withdrawal of an upstream. */
export function withdrawUpstream(
	state: MembersState,
	id: string,
	now: number,
): MembersStep {
	return state.leases.has(id)
		? endLeases(state, new Set([id]), now)
		: recordWithdrawal(state, id, now);
}

/** Ends leases that have not been renewed in time. */
export function expireLeases(state: MembersState, now: number): MembersStep {
	const ended = [...state.leases].filter(([, lease]) => lease.endsAt <= now);
	if (ended.length === 0) {
		return {state, effects: []};
	}

	const leases = new Map(state.leases);
	for (const [id, lease] of ended) {
		// The lease of a leaving upstream is kept, so that a late announcement does not re-add it.
		if (lease.state !== 'leaving') {
			leases.delete(id);
		}
	}

	const ids = new Set(
		ended.filter(([, lease]) => lease.state !== 'ended').map(([id]) => id),
	);
	return endLeases({...state, leases}, ids, now);
}

/** Tells whether a departure says more than what this node knows of the upstream. */
function isUnknown(
	state: MembersState,
	{id, incarnation, address}: Departure,
): boolean {
	const lease = state.leases.get(id);
	if (!lease) {
		return state.leases.size < maxLeasesPerHost;
	}

	const isSame =
		incarnation === lease.incarnation &&
		address === lease.address &&
		lease.state === 'ready';
	return isSame || incarnation > lease.incarnation;
}

/**
 * Withdraws the upstreams that left this host before the process of this node
 * started, and keeps them as withdrawn, so that a late announcement does not add
 * them.
 */
export function acceptDepartures(
	state: MembersState,
	records: readonly DepartureRecord[] | undefined,
	now: number,
): MembersStep {
	const unknown = decodeDepartures(records ?? [], now).filter(
		(departure) => departure.endsAt > now && isUnknown(state, departure),
	);
	if (unknown.length === 0) {
		return {state, effects: []};
	}

	const leases = new Map(state.leases);
	for (const {id, incarnation, address, endsAt} of unknown) {
		leases.set(id, {incarnation, address, endsAt, sequence: 0, state: 'ended'});
	}

	const ids = new Set(unknown.map(({id}) => id));
	const upstreams = state.self.upstreams.filter(({id}) => !ids.has(id));
	return updateSelf({...state, leases}, {upstreams});
}
