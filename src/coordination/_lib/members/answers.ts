/**
 * Helpers that handle answers of other members and failed requests.
 */
import type {ExchangeAnswer} from '../../../protocol/member.js';
import type {
	MembersMessage,
	MembersState,
	MembersStep,
} from '../../members-state.js';
import {recordContactAnswer, recordContactFailure} from './bridges.js';
import {resendRecords} from './resend.js';
import {endNameCheck, handleNameConflict} from './identity.js';
import {handleSeedSyncFailure, finishJoin} from './join.js';
import {mergeRecords} from './merge.js';
import {
	confirmProbe,
	expireReplacedMembers,
	startIndirectProbes,
} from './probe.js';
import {runActions} from './run-actions.js';
import {describeSender, encodeRecords, createRequestEffect} from './send.js';
import {abortSync, compareDigests, handleBucketAnswer} from './sync.js';
import {acceptDepartures} from './upstreams.js';

type AnswerMessage = Extract<MembersMessage, {readonly kind: 'answer'}>;

function notifyProbeRequesters(state: MembersState, name: string): MembersStep {
	const asked = state.relayedProbes.get(name);
	if (!asked) {
		return {state, effects: []};
	}

	const relayedProbes = new Map(state.relayedProbes);
	relayedProbes.delete(name);
	const request = {
		kind: 'vouch' as const,
		from: describeSender(state),
		name,
	};
	return {
		state: {...state, relayedProbes},
		effects: asked.map((address) => createRequestEffect(address, request)),
	};
}

function sendSelfRecord(
	state: MembersState,
	address: string,
	now: number,
): MembersStep {
	if (state.role !== 'member') {
		return {state, effects: []};
	}

	const request = {
		kind: 'ping' as const,
		from: describeSender(state),
		records: encodeRecords(state, [state.self.name], now),
	};
	return {state, effects: [createRequestEffect(address, request)]};
}

function handleAck(
	state: MembersState,
	message: AnswerMessage,
	answer: Extract<ExchangeAnswer, {readonly kind: 'ack'}>,
	now: number,
): MembersStep {
	const {address, request} = message;
	const {from} = answer;
	if (request.kind !== 'ping') {
		return {state, effects: []};
	}

	const hasSelfRecord = request.records.some(
		({name}) => name === state.self.name,
	);
	const hasNameConflict =
		from.name === state.self.name && from.address !== state.self.address;
	return runActions(confirmProbe(state, from.name), [
		(next) => notifyProbeRequesters(next, from.name),
		(next) =>
			hasNameConflict
				? handleNameConflict(next, from, now)
				: endNameCheck(next, address, now),
		(next) => expireReplacedMembers(next, address, from.name, now),
		(next) => mergeRecords(next, answer.records, now),
		(next) =>
			answer.needsRecord && !hasSelfRecord
				? sendSelfRecord(next, address, now)
				: {state: next, effects: []},
	]);
}

function handleAnswerKind(
	state: MembersState,
	message: AnswerMessage,
	now: number,
): MembersStep {
	const {address, answer} = message;
	const isSyncing = state.sync?.address === address;
	switch (answer.kind) {
		case 'ack': {
			return handleAck(state, message, answer, now);
		}

		case 'digests': {
			return isSyncing
				? runActions(state, [
						(next) => compareDigests(next, answer),
						finishJoin,
					])
				: {state, effects: []};
		}

		case 'bucket': {
			return runActions(state, [
				(next) => handleBucketAnswer(next, address, answer, now),
				finishJoin,
			]);
		}

		case 'busy': {
			return {
				state: isSyncing ? abortSync(state) : state,
				effects: [],
			};
		}
	}
}

/** Applies what an answer says of upstreams that left this host before the process started. */
function acceptAnsweredDepartures(
	state: MembersState,
	answer: ExchangeAnswer,
	now: number,
): MembersStep {
	const departures = 'departures' in answer ? answer.departures : undefined;
	return acceptDepartures(state, departures, now);
}

/** Handles the answer of another member to a request. */
export function handleAnswer(
	state: MembersState,
	message: AnswerMessage,
	now: number,
): MembersStep {
	const {address, answer} = message;
	return runActions(state, [
		(next) => recordContactAnswer(next, answer.from.dataCentre, address, now),
		(next) => acceptAnsweredDepartures(next, answer, now),
		(next) => handleAnswerKind(next, message, now),
	]);
}

/** Handles a request that failed or was not answered in time. */
export function handleFailure(
	state: MembersState,
	message: Extract<MembersMessage, {readonly kind: 'failure'}>,
	now: number,
	random: () => number,
): MembersStep {
	const {address, request} = message;
	const seedSync =
		state.sync?.address === address
			? handleSeedSyncFailure(abortSync(state), address, now, random)
			: {state, effects: []};
	const next = runActions(recordContactFailure(seedSync.state, address), [
		(next) => resendRecords(next, address, request, {now, random}),
		(next) => endNameCheck(next, address, now),
		(next) => startIndirectProbes(next, address, now, random),
	]);
	return {state: next.state, effects: [...seedSync.effects, ...next.effects]};
}
