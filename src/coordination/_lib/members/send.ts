/**
 * Helpers that build the messages between members.
 */
import {maxRecordsPerMessage} from '../../../protocol/constants.js';
import type {
	Exchange,
	ExchangeAnswer,
	Member,
	MemberRecord,
	Sender,
} from '../../../protocol/member.js';
import {encodeMember} from '../../../state/encode-member.js';
import {findMember} from '../../../state/find-member.js';
import type {
	MembersEffect,
	MembersState,
	MembersStep,
} from '../../members-state.js';

/** Who the node is, as a sender. */
export function describeSender(state: MembersState): Sender {
	const {name, dataCentre, address, incarnation, sequence} = state.self;
	return {
		name,
		dataCentre,
		address,
		incarnation,
		sequence,
		startedMs: state.startedMs,
	};
}

/** Finds a record, the own one included. */
export function findRecord(
	state: MembersState,
	name: string,
): Member | undefined {
	return name === state.self.name ? state.self : findMember(state.table, name);
}

/** Encodes the records of some names. */
export function encodeRecords(
	state: MembersState,
	names: Iterable<string>,
	now: number,
): MemberRecord[] {
	return [...names].flatMap((name) => {
		const member = findRecord(state, name);
		return member ? [encodeMember(member, now)] : [];
	});
}

/** Builds an effect that sends a request. */
export function createRequestEffect(
	address: string,
	request: Exchange,
): MembersEffect {
	return {kind: 'send', address, request};
}

/** Builds an effect that answers the request that is being handled. */
export function createAnswerEffect(answer: ExchangeAnswer): MembersEffect {
	return {kind: 'answer', answer};
}

/** Whether a member is thought to live. */
export function isLive(member: Member): boolean {
	return member.state === 'alive' || member.state === 'suspect';
}

/** Takes the records to send along with a message, and counts them as sent. */
export function takeUpdates(
	state: MembersState,
	now: number,
): {readonly state: MembersState; readonly records: MemberRecord[]} {
	if (state.pendingUpdates.size === 0 || state.role === 'refused') {
		return {state, records: []};
	}

	const pendingUpdates = new Map(state.pendingUpdates);
	const names = [...state.pendingUpdates.keys()].slice(0, maxRecordsPerMessage);
	for (const name of names) {
		const remaining = pendingUpdates.get(name)! - 1;
		pendingUpdates.delete(name);
		if (remaining > 0) {
			pendingUpdates.set(name, remaining);
		}
	}

	const shared = state.role === 'joining' ? [] : names;
	return {
		state: {...state, pendingUpdates},
		records: encodeRecords(state, shared, now),
	};
}

/** Sends a ping with recent changes to an address. */
export function sendPing(
	state: MembersState,
	address: string,
	now: number,
): MembersStep {
	const taken = takeUpdates(state, now);
	const request = {
		kind: 'ping' as const,
		from: describeSender(state),
		records: taken.records,
	};
	return {state: taken.state, effects: [createRequestEffect(address, request)]};
}

/** Picks up to `count` different items. */
export function pickRandomItems<T>(
	items: readonly T[],
	count: number,
	random: () => number,
): T[] {
	const rest = [...items];
	const picked: T[] = [];
	while (picked.length < count && rest.length > 0) {
		const index = Math.floor(random() * rest.length);
		picked.push(rest[index]!);
		rest[index] = rest.at(-1)!;
		rest.pop();
	}

	return picked;
}
