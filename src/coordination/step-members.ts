import {
	deadAfterMs,
	forgetAfterMs,
	suspectAfterMs,
	upstreamLeaseMs,
} from '../protocol/constants.js';
import type {Announcement, Member, Upstream} from '../protocol/member.js';
import {mergeMember} from '../state/merge-member.js';

/** State of a node's membership task. */
export type MembersState = {
	readonly self: Member;
	/** Records of other members by name. */
	readonly others: ReadonlyMap<string, Member>;
	/** When each other member was last heard of, monotonic ms. */
	readonly heardAt: ReadonlyMap<string, number>;
	/** When each local upstream's lease ends, monotonic ms. */
	readonly leaseEndsAt: ReadonlyMap<string, number>;
};

/** What a membership task can be told. */
export type MembersMessage =
	| {
			readonly kind: 'announce';
			readonly id: string;
			readonly announcement: Announcement;
	  }
	| {readonly kind: 'withdraw'; readonly id: string}
	| {readonly kind: 'records'; readonly records: readonly Member[]}
	| {readonly kind: 'heard'; readonly name: string}
	| {readonly kind: 'leave'}
	| {readonly kind: 'tick'};

function raiseSequence(self: Member, upstreams: readonly Upstream[]): Member {
	return {...self, sequence: self.sequence + 1, upstreams: [...upstreams]};
}

function announceUpstream(
	state: MembersState,
	id: string,
	announcement: Announcement,
	now: number,
): MembersState {
	const {team, service, slots, state: readiness} = announcement;
	const leaseEndsAt = new Map(state.leaseEndsAt).set(id, now + upstreamLeaseMs);
	const known = state.self.upstreams.find((upstream) => upstream.id === id);
	const next: Upstream = {
		id,
		service: `${team}/${service}`,
		slots,
		state: readiness,
		since: known?.since ?? now,
	};
	if (known && JSON.stringify(known) === JSON.stringify(next)) {
		return {...state, leaseEndsAt};
	}

	const rest = state.self.upstreams.filter((upstream) => upstream.id !== id);
	return {
		...state,
		leaseEndsAt,
		self: raiseSequence(state.self, [...rest, next]),
	};
}

function withdrawUpstreams(
	state: MembersState,
	ids: ReadonlySet<string>,
): MembersState {
	const rest = state.self.upstreams.filter(({id}) => !ids.has(id));
	if (rest.length === state.self.upstreams.length) {
		return state;
	}

	const leaseEndsAt = new Map(
		[...state.leaseEndsAt].filter(([id]) => !ids.has(id)),
	);
	return {...state, leaseEndsAt, self: raiseSequence(state.self, rest)};
}

function refuteRecord(self: Member, received: Member): Member {
	const isNewer =
		received.incarnation > self.incarnation ||
		(received.incarnation === self.incarnation &&
			received.sequence > self.sequence);
	if (!isNewer && received.state === 'alive') {
		return self;
	}

	return {
		...self,
		incarnation: Math.max(self.incarnation, received.incarnation + 1),
		sequence: self.sequence + 1,
	};
}

function mergeRecords(
	state: MembersState,
	records: readonly Member[],
	now: number,
): MembersState {
	const others = new Map(state.others);
	const heardAt = new Map(state.heardAt);
	let {self} = state;
	for (const record of records) {
		if (record.name === self.name) {
			self = self.state === 'left' ? self : refuteRecord(self, record);
			continue;
		}

		const current = others.get(record.name);
		const merged = mergeMember(current, record);
		if (merged !== current) {
			others.set(record.name, merged);
			heardAt.set(record.name, now);
		}
	}

	return {...state, self, others, heardAt};
}

function judgeSilence(member: Member, silentMs: number): Member {
	if (member.state === 'alive' && silentMs >= suspectAfterMs) {
		return {...member, state: 'suspect'};
	}

	if (member.state === 'suspect' && silentMs >= deadAfterMs) {
		return {...member, state: 'dead'};
	}

	return member;
}

function judgeMembers(state: MembersState, now: number): MembersState {
	const others = new Map<string, Member>();
	const heardAt = new Map(state.heardAt);
	for (const [name, member] of state.others) {
		const silentMs = now - (heardAt.get(name) ?? now);
		const isGone = member.state === 'dead' || member.state === 'left';
		if (isGone && silentMs >= forgetAfterMs) {
			heardAt.delete(name);
			continue;
		}

		others.set(name, judgeSilence(member, silentMs));
	}

	const lapsed = new Set(
		[...state.leaseEndsAt].filter(([, end]) => end <= now).map(([id]) => id),
	);
	return withdrawUpstreams({...state, others, heardAt}, lapsed);
}

/**
 * Advances a membership task by one message.
 *
 * @param state - the state before; left as it is
 * @param message - the message to handle
 * @param now - monotonic time in ms
 * @returns the state after
 * @example
 * stepMembers(state, {kind: 'tick'}, 1000);
 */
export function stepMembers(
	state: MembersState,
	message: MembersMessage,
	now: number,
): MembersState {
	switch (message.kind) {
		case 'announce': {
			return announceUpstream(state, message.id, message.announcement, now);
		}

		case 'withdraw': {
			return withdrawUpstreams(state, new Set([message.id]));
		}

		case 'records': {
			return mergeRecords(state, message.records, now);
		}

		case 'heard': {
			const heardAt = new Map(state.heardAt).set(message.name, now);
			const member = state.others.get(message.name);
			const others =
				member?.state === 'suspect'
					? new Map(state.others).set(message.name, {
							...member,
							state: 'alive' as const,
						})
					: state.others;
			return {...state, heardAt, others};
		}

		case 'leave': {
			const self = {...raiseSequence(state.self, []), state: 'left' as const};
			return {...state, self, leaseEndsAt: new Map()};
		}

		case 'tick': {
			return judgeMembers(state, now);
		}
	}
}
