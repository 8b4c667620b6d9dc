/**
 * Helpers that keep the leases of the upstreams on the own host.
 */
import {
	maxUpstreamsPerHost,
	upstreamLeaseMs,
	upstreamRenewMs,
	upstreamTombstoneMs,
} from '../../../protocol/constants.js';
import type {Announcement, Upstream} from '../../../protocol/member.js';
import type {
	MembersState,
	MembersStep,
	UpstreamLease,
} from '../../members-state.js';
import {changeSelf} from './records.js';

function isStale(
	state: MembersState,
	lease: UpstreamLease | undefined,
	announcement: Announcement,
	now: number,
): boolean {
	if (now - state.wokeAt < upstreamRenewMs) {
		return true;
	}

	if (!lease) {
		return state.self.upstreams.length >= maxUpstreamsPerHost;
	}

	const {incarnation = 0, address} = announcement;
	if (incarnation !== lease.incarnation) {
		return incarnation < lease.incarnation;
	}

	const hasLeft = lease.state === 'gone' || lease.state === 'leaving';
	const isSame = address === lease.address;
	return hasLeft && isSame && announcement.state === 'ready';
}

function replaceUpstream(
	upstreams: readonly Upstream[],
	next: Upstream,
): readonly Upstream[] {
	return [...upstreams.filter(({id}) => id !== next.id), next];
}

/** Handles an announcement or its renewal. */
export function announceUpstream(
	state: MembersState,
	id: string,
	announcement: Announcement,
	now: number,
): MembersStep {
	const lease = state.leases.get(id);
	if (state.role === 'left' || isStale(state, lease, announcement, now)) {
		return {state, effects: [{kind: 'announcement', outcome: 'ignored'}]};
	}

	const {team, service, slots, address, incarnation = 0} = announcement;
	const leases = new Map(state.leases).set(id, {
		endsAt: now + upstreamLeaseMs,
		incarnation,
		address,
		state: announcement.state,
	});
	const known = state.self.upstreams.find((upstream) => upstream.id === id);
	const isSameLife =
		lease?.incarnation === incarnation && lease.address === address;
	const next: Upstream = {
		id,
		service: `${team}/${service}`,
		slots,
		state: announcement.state,
		since: known && isSameLife ? known.since : now,
	};
	const accepted = {
		kind: 'announcement' as const,
		outcome: 'accepted' as const,
	};
	if (known && JSON.stringify(known) === JSON.stringify(next)) {
		return {state: {...state, leases}, effects: [accepted]};
	}

	const changed = changeSelf(
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
				state: 'gone',
			});
		}
	}

	const upstreams = state.self.upstreams.filter(({id}) => !ids.has(id));
	if (upstreams.length === state.self.upstreams.length) {
		return {state: {...state, leases}, effects: []};
	}

	return changeSelf({...state, leases}, {upstreams});
}

/** Handles the withdrawal of an upstream. */
export function withdrawUpstream(
	state: MembersState,
	id: string,
	now: number,
): MembersStep {
	return endLeases(state, new Set([id]), now);
}

/** Ends leases that were not renewed in time. */
export function expireLeases(state: MembersState, now: number): MembersStep {
	const ended = [...state.leases].filter(([, lease]) => lease.endsAt <= now);
	if (ended.length === 0) {
		return {state, effects: []};
	}

	const leases = new Map(state.leases);
	for (const [id] of ended) {
		leases.delete(id);
	}

	const ids = new Set(
		ended.filter(([, lease]) => lease.state !== 'gone').map(([id]) => id),
	);
	return endLeases({...state, leases}, ids, now);
}
