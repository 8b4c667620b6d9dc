/**
 * Helpers that remember the upstreams which have left the hosts of other members,
 * and tell a new process of a node of those that its predecessor acknowledged.
 */
import type {
	Departure,
	DepartureRecord,
	MemberRecord,
	Sender,
} from '../../../protocol/member.js';
import {decodeDepartures} from '../../../state/decode-departures.js';
import {encodeDepartures} from '../../../state/encode-departures.js';
import {findMember} from '../../../state/find-member.js';
import {mergeDepartures} from '../../departures/merge-departures.js';
import type {MembersState} from '../../members-state.js';

/** Field of a message with departures; absent when there are none. */
type DeparturesField = {readonly departures?: readonly DepartureRecord[]};

function createDeparturesField(
	departures: readonly Departure[],
	now: number,
): DeparturesField {
	return departures.length === 0
		? {}
		: {departures: encodeDepartures(departures, now)};
}

/** Finds the remembered departures of the members with a name or an address. */
function findDepartures(
	state: MembersState,
	wanted: {readonly name?: string; readonly address: string},
	now: number,
): readonly Departure[] {
	const remembered = [...state.departures]
		.filter(
			([name, {address}]) => name === wanted.name || address === wanted.address,
		)
		.flatMap(([, {departures}]) => departures);
	return mergeDepartures(remembered, now);
}

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
): DeparturesField {
	if (state.departures.size === 0) {
		return {};
	}

	const known = findMember(state.table, from.name);
	const told =
		known && known.incarnation >= from.incarnation
			? (known.departures ?? [])
			: [];
	const untold = findDepartures(state, from, now).filter(
		({id, incarnation}) =>
			!told.some(
				(other) => other.id === id && other.incarnation >= incarnation,
			),
	);
	return createDeparturesField(untold, now);
}

/**
 * Lists the departures of the members at an address, for a request to a process
 * there, which may be new and not ask anybody itself.
 */
export function listDeparturesAt(
	state: MembersState,
	address: string,
	now: number,
): DeparturesField {
	return createDeparturesField(findDepartures(state, {address}, now), now);
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
