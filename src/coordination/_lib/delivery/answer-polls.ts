import {Buffer} from 'node:buffer';
import type {LogEntry} from '../../../protocol/configuration.js';
import {
	logEntriesPerPoll,
	maxAnswerBytes,
	requiredHolders,
} from '../../../protocol/constants.js';
import type {Poll, PollAnswer} from '../../../protocol/peer.js';
import type {
	DeliveryEffect,
	DeliveryState,
	DeliveryStep,
} from '../../delivery-state.js';
import {
	findNewestConfiguration,
	type DeliveryContext,
} from './delivery-context.js';

function isUseful(state: DeliveryState, poll: Poll): boolean {
	const hasNewer = findNewestConfiguration(state).version > poll.afterVersion;
	const mayRunMore =
		state.safeVersion > poll.safeVersion && poll.safeVersion < poll.haveVersion;
	return hasNewer || mayRunMore;
}

function limitEntries(entries: readonly LogEntry[]): LogEntry[] {
	const limited: LogEntry[] = [];
	let bytes = 0;
	for (const entry of entries.slice(0, logEntriesPerPoll)) {
		bytes += Buffer.byteLength(JSON.stringify(entry));
		if (limited.length > 0 && bytes > maxAnswerBytes) {
			break;
		}

		limited.push(entry);
	}

	return limited;
}

function findMissing(state: DeliveryState, poll: Poll): readonly LogEntry[] {
	const index = state.entries.findIndex(
		({version}) => version === poll.haveVersion + 1,
	);
	const before = state.entries[index - 1];
	const isForked = before !== undefined && before.digest !== poll.haveDigest;
	return index === -1 || isForked || poll.wantSnapshot
		? []
		: state.entries.slice(index);
}

/**
 * Builds the answer to a poll: nothing new, entries, or a snapshot.
 *
 * @param state - the node's state
 * @param poll - the poll
 * @returns the answer
 */
export function buildAnswer(state: DeliveryState, poll: Poll): PollAnswer {
	const newest = findNewestConfiguration(state);
	const holders = [...state.holders]
		.filter(([, {version}]) => version >= newest.version)
		.map(([name]) => name)
		.slice(0, requiredHolders);
	const fields = {
		name: state.name,
		version: newest.version,
		safeVersion: state.safeVersion,
		holders,
	};
	if (newest.version <= poll.afterVersion) {
		return {kind: 'unchanged', ...fields};
	}

	const missing = findMissing(state, poll);
	return missing.length > 0
		? {kind: 'entries', ...fields, entries: limitEntries(missing)}
		: {kind: 'snapshot', ...fields, configuration: newest};
}

/**
 * Answers the waiting polls that have something new or whose time is over.
 *
 * @param state - the state before
 * @param context - time and rules
 * @returns the state with the other polls, and the answers
 */
export function answerPolls(
	state: DeliveryState,
	context: DeliveryContext,
): DeliveryStep {
	const effects: DeliveryEffect[] = [];
	const polls = state.polls.filter(({pollId, poll, endsAt}) => {
		if (!isUseful(state, poll) && context.now < endsAt) {
			return true;
		}

		effects.push({kind: 'answer', pollId, answer: buildAnswer(state, poll)});
		return false;
	});
	return effects.length > 0
		? {state: {...state, polls}, effects}
		: {state, effects};
}
