/**
 * Helpers that handle requests of other members.
 */
import {maxSeeds, spreadFanOut} from '../../../protocol/constants.js';
import type {Exchange, Sender} from '../../../protocol/member.js';
import {findMember} from '../../../state/find-member.js';
import type {MembersState, MembersStep} from '../../members-state.js';
import {listUntoldDepartures} from './departures.js';
import {handleNameConflict} from './identity.js';
import {mergeRecords} from './merge.js';
import {confirmProbe} from './probe.js';
import {runActions} from './run-actions.js';
import {
	createAnswerEffect,
	describeSender,
	encodeRecords,
	sendPing,
	takeUpdates,
} from './send.js';
import {answerBucket, answerDigests} from './sync.js';
import {acceptDepartures} from './upstreams.js';

/** Number of members whose indirect probes a node keeps. */
const maxRelayedProbes = spreadFanOut * 8;
/** Number of nodes that are told that such a member has answered. */
const maxProbeRequesters = 16;

/**
 * Answers a ping: sends back the record held of the sender if it is wrong, and
 * asks for a newer one if there is one.
 */
function answerPing(
	state: MembersState,
	from: Sender,
	now: number,
): MembersStep {
	const known = findMember(state.table, from.name);
	const isOutdated =
		known &&
		(known.state !== 'alive' ||
			known.incarnation > from.incarnation ||
			known.address !== from.address);
	const needsRecord =
		!known ||
		known.incarnation < from.incarnation ||
		(known.incarnation === from.incarnation && known.sequence < from.sequence);
	const taken = takeUpdates(state, now);
	const records = isOutdated
		? encodeRecords(taken.state, [from.name], now)
		: [];
	const answer = {
		kind: 'ack' as const,
		from: describeSender(state),
		records: [...records, ...taken.records],
		needsRecord,
		...listUntoldDepartures(state, from, now),
	};
	return {state: taken.state, effects: [createAnswerEffect(answer)]};
}

function acknowledge(state: MembersState): MembersStep {
	const answer = {
		kind: 'ack' as const,
		from: describeSender(state),
		records: [],
		needsRecord: false,
	};
	return {state, effects: [createAnswerEffect(answer)]};
}

function checkSender(
	state: MembersState,
	from: Sender,
	now: number,
): MembersStep {
	return from.name === state.self.name && from.address !== state.self.address
		? handleNameConflict(state, from, now)
		: {state, effects: []};
}

/**
 * Records the sender as a seed while no record of the local data centre is
 * known.
 */
function recordCaller(state: MembersState, from: Sender): MembersState {
	const {addresses} = state.seeds;
	const isKnown = addresses.includes(from.address);
	const hasNoLocalRecords = !state.table.has(state.self.dataCentre);
	if (isKnown || !hasNoLocalRecords || addresses.length >= 4 * maxSeeds) {
		return state;
	}

	const seeds = {...state.seeds, addresses: [...addresses, from.address]};
	return {...state, seeds};
}

/** Handles another member's request. */
export function handleRequest(
	state: MembersState,
	request: Exchange,
	now: number,
): MembersStep {
	switch (request.kind) {
		case 'ping': {
			return runActions(recordCaller(state, request.from), [
				(next) => checkSender(next, request.from, now),
				(next) => mergeRecords(next, request.records, now),
				(next) => answerPing(next, request.from, now),
			]);
		}

		case 'relay': {
			const {name, address, from} = request;
			const asked = state.relayedProbes.get(name) ?? [];
			const addresses = new Set([...asked, from.address]);
			const relayedProbes = new Map(
				[
					...state.relayedProbes,
					[name, [...addresses].slice(-maxProbeRequesters)] as const,
				].slice(-maxRelayedProbes),
			);
			return runActions({...state, relayedProbes}, [
				acknowledge,
				(next) => sendPing(next, address, now),
			]);
		}

		case 'vouch': {
			return acknowledge(confirmProbe(state, request.name));
		}

		case 'digests': {
			return runActions(state, [
				(next) => acceptDepartures(next, request.departures, now),
				(next) => answerDigests(next, request, now),
			]);
		}

		case 'bucket': {
			return answerBucket(state, request, now);
		}
	}
}
