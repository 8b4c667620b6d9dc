/**
 * Helpers that remember the upstreams which have left the hosts of other members,
 * and tell a new process of a node of those that its predecessor acknowledged.
 */
import type {
	DepartureRecord,
	MemberRecord,
	Sender,
} from '../../../protocol/member.js';
import {decodeDepartures} from '../../../state/decode-departures.js';
import {encodeDepartures} from '../../../state/encode-departures.js';
import {findMember} from '../../../state/find-member.js';
import {mergeDepartures} from '../../departures/merge-departures.js';
import type {MembersState} from '../../members-state.js';

/** Remembers the departures in a record, whether or not the record itself is newer than the known one. */
export function recordDepartures(
	state: MembersState,
	{name, address, departures = []}: MemberRecord,
	now: number,
): MembersState {
	if (departures.length === 0) {
		return state;
	}

	const known = state.departures.get(name)?.departures ?? [];
	const merged = mergeDepartures(
		[...known, ...decodeDepartures(departures, now)],
		now,
	);
	return {
		...state,
		departures: new Map(state.departures).set(name, {
			address,
			departures: merged,
		}),
	};
}

/**
 * Lists the departures that the sender of a message does not state in its record:
 * those of an earlier process under its name or at its address.
 */
export function listUntoldDepartures(
	state: MembersState,
	from: Sender,
	now: number,
): {readonly departures?: readonly DepartureRecord[]} {
	if (state.departures.size === 0) {
		return {};
	}

	const known = findMember(state.table, from.name);
	const told =
		known && known.incarnation >= from.incarnation
			? (known.departures ?? [])
			: [];
	const remembered = [...state.departures]
		.filter(
			([name, {address}]) => name === from.name || address === from.address,
		)
		.flatMap(([, {departures}]) => departures);
	const untold = mergeDepartures(remembered, now).filter(
		({id, incarnation}) =>
			!told.some(
				(other) => other.id === id && other.incarnation >= incarnation,
			),
	);
	return untold.length === 0 ? {} : {departures: encodeDepartures(untold, now)};
}

/**
 * Lists the departures of the members at an address, for a request to a process
 * there, which may be new and not ask anybody itself.
 */
export function listDeparturesAt(
	state: MembersState,
	address: string,
	now: number,
): {readonly departures?: readonly DepartureRecord[]} {
	const remembered = [...state.departures.values()]
		.filter((host) => host.address === address)
		.flatMap(({departures}) => departures);
	const merged = mergeDepartures(remembered, now);
	return merged.length === 0 ? {} : {departures: encodeDepartures(merged, now)};
}

/** Forgets the departures of which no late announcement can arrive any more. */
export function expireDepartures(
	state: MembersState,
	now: number,
): MembersState {
	const ended = [...state.departures].filter(([, {departures}]) =>
		departures.every(({endsAt}) => endsAt <= now),
	);
	if (ended.length === 0) {
		return state;
	}

	const departures = new Map(state.departures);
	for (const [name] of ended) {
		departures.delete(name);
	}

	return {...state, departures};
}
