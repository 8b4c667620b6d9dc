/**
 * Helpers by which a member that knows few others of its data centre finds them.
 */
import {
	joinRetryMs,
	joinWindowMsPerMember,
} from '../../../protocol/constants.js';
import type {MembersState, MembersStep} from '../../members-state.js';
import {startSeedSync} from './join.js';
import {listLocalPeers} from './probe.js';

/** Shortest mean delay between two seeks, ms; longer in large data centres, so that their seeds bear it. */
const minSeekMs = 200;

/** Number of seeks in a row; the size in the seeds object may be out of date. */
const maxSeeks = 8;

function computeSeekDelayMs(
	{seeds}: MembersState,
	failures: number,
	random: number,
): number {
	const meanMs = Math.max(minSeekMs, joinWindowMsPerMember * seeds.memberCount);
	return (0.5 + random) * Math.min(joinRetryMs, meanMs * 1.5 ** failures);
}

/** Tells whether a node is about to learn of most of its data centre. */
export function isUninformed(state: MembersState): boolean {
	return state.role === 'joining' || (state.isSeeking && needsSeek(state));
}

/** Tells whether a member knows less than half of its data centre, by the size that the seeds object states. */
function needsSeek(state: MembersState): boolean {
	const {role, seeds, self} = state;
	const known = listLocalPeers(state).length + 1;
	return (
		role === 'member' &&
		(known === 1 || 2 * known < seeds.memberCount) &&
		seeds.addresses.some((address) => address !== self.address)
	);
}

/**
 * Schedules a seek for a node that has just become a member and knows few others.
 *
 * Load pattern: all nodes of a data centre start at the same moment. The seeds
 * know nobody either when they are asked, and the next chance would be seconds
 * later, while each node serves by its own upstream only.
 */
export function startSeeking(
	before: MembersState,
	step: MembersStep,
	random: () => number,
): MembersStep {
	const {state, effects} = step;
	if (before.role === 'member' || !needsSeek(state)) {
		return step;
	}

	const delayMs = computeSeekDelayMs(state, 0, random());
	return {
		state: {...state, isSeeking: true},
		effects: [...effects, {kind: 'schedule-seek', failures: 0, delayMs}],
	};
}

/** Asks a seed for the members, and schedules the next seek while few are known. */
export function handleSeek(
	state: MembersState,
	failures: number,
	now: number,
	random: () => number,
): MembersStep {
	if (failures >= maxSeeks || !needsSeek(state)) {
		return {state: {...state, isSeeking: false}, effects: []};
	}

	const seeds = {...state.seeds, nextJoinAt: now};
	const seeking = {...state, seeds, isSyncIncomplete: true};
	const step = startSeedSync(seeking, now, random);
	const delayMs = computeSeekDelayMs(state, failures, random());
	const next = {
		kind: 'schedule-seek',
		failures: failures + 1,
		delayMs,
	} as const;
	return {state: step.state, effects: [...step.effects, next]};
}
