/**
 * Helpers for joining: seeds, the first sync, and the seeds object in the
 * platform.
 */
import {
	joinTimeoutMs,
	joinWindowMsPerMember,
	maxJoinWindowMs,
	maxSeeds,
	joinRetryMs,
	membersPeriodMs,
	seedsRefreshMs,
	seedsRetryCapMs,
	seedsRetryMs,
	seedsRetryMsPerMember,
	seedsWriteIntervalMs,
} from '../../../protocol/constants.js';
import {listMembers} from '../../../state/list-members.js';
import {computeBridges} from '../../compute-bridges.js';
import type {
	MembersEffect,
	MembersState,
	MembersStep,
	SeedsOutcome,
} from '../../members-state.js';
import {listLocalPeers} from './probe.js';
import {countLocalMembers, markChanged} from './records.js';
import {isLive, pickRandomItems} from './send.js';
import {startSync} from './sync.js';

type SeedsRead = Extract<SeedsOutcome, {readonly kind: 'read'}>;

/** Makes a joining node a member, whose record is spread from now on. */
export function becomeMember(state: MembersState): MembersStep {
	return state.role === 'joining' && !state.nameCheck
		? markChanged({...state, role: 'member'}, [state.self.name])
		: {state, effects: []};
}

/**
 * Becomes a member once the records of the local data centre have been
 * received.
 */
export function finishJoin(state: MembersState): MembersStep {
	const isAwaited = state.sync?.remaining.some(
		([dataCentre]) => dataCentre === state.self.dataCentre,
	);
	return isAwaited ? {state, effects: []} : becomeMember(state);
}

/**
 * Computes the delay before the seeds object is read again, in ms: half a period
 * plus full jitter over a window that doubles with each read that failed or found
 * no local peer. The cap of the window grows with the last known size of the
 * data centre.
 */
function computeReadDelayMs(state: MembersState, random: number): number {
	const {failures, memberCount} = state.seeds;
	const growing = membersPeriodMs * 2 ** Math.min(failures, 10);
	const cap = state.seeds.isAvailable
		? Math.max(seedsRetryMs, memberCount * seedsRetryMsPerMember)
		: seedsRetryCapMs;
	return membersPeriodMs / 2 + random * Math.min(growing, cap);
}

function pickSeed(
	state: MembersState,
	random: () => number,
): string | undefined {
	const known = listMembers(state.table)
		.filter((member) => isLive(member))
		.map(({address}) => address);
	const pool = [...new Set([...state.seeds.addresses, ...known])].filter(
		(address) => address !== state.self.address,
	);
	return pickRandomItems(pool, 1, random)[0];
}

/**
 * Starts a sync with a seed while the node is joining, knows no local peer, or
 * has an incomplete sync.
 */
export function startSeedSync(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	const {role, seeds, sync} = state;
	const hasNoLocalPeers = listLocalPeers(state).length === 0;
	const isSettled =
		role !== 'joining' && !hasNoLocalPeers && !state.isSyncIncomplete;
	if (isSettled || sync !== undefined || now < seeds.nextJoinAt) {
		return {state, effects: []};
	}

	const address = pickSeed(state, random);
	if (address === undefined) {
		return {state, effects: []};
	}

	const nextJoinAt = now + random() * joinRetryMs;
	return startSync(
		{...state, isSyncIncomplete: false, seeds: {...seeds, nextJoinAt}},
		address,
		now,
	);
}

/** Becomes a member without an answer of a seed when none has come in time. */
export function handleJoinTimeout(
	state: MembersState,
	now: number,
): MembersStep {
	const isOver =
		now - state.startedAt >= joinTimeoutMs && now >= state.seeds.nextJoinAt;
	return isOver && state.sync === undefined
		? becomeMember(state)
		: {state, effects: []};
}

/**
 * Reads the seeds object when that is due, on a node that knows no local peer
 * and on the first bridge.
 */
export function refreshSeeds(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	const {seeds, self, role} = state;
	if (now < seeds.nextReadAt || role === 'refused' || role === 'left') {
		return {state, effects: []};
	}

	const localPeers = listLocalPeers(state);
	const isFirst = computeBridges([self, ...localPeers])[0]?.name === self.name;
	const hasNoLocalPeers = localPeers.length === 0;
	const delayMs = hasNoLocalPeers
		? computeReadDelayMs(state, random())
		: seedsRefreshMs * (0.5 + random());
	const next = {...state, seeds: {...seeds, nextReadAt: now + delayMs}};
	return {
		state: next,
		effects: hasNoLocalPeers || isFirst ? [{kind: 'read-seeds'}] : [],
	};
}

/**
 * Reads the seeds object, to write it again if the store has come back from a
 * copy without it; a node that starts later would find no other one.
 */
export function recheckSeeds(state: MembersState): MembersStep {
	return state.role === 'member'
		? {
				state: {...state, seeds: {...state.seeds, mustWrite: true}},
				effects: [{kind: 'read-seeds'}],
			}
		: {state, effects: []};
}

function writeSeeds(
	state: MembersState,
	outcome: SeedsRead,
	now: number,
): MembersEffect[] {
	const wallMs = now + state.wallOffsetMs;
	const isRecent =
		outcome.version !== undefined &&
		wallMs - outcome.writtenMs < seedsWriteIntervalMs;
	const members = [state.self, ...listLocalPeers(state)];
	const isFirst = computeBridges(members)[0]?.name === state.self.name;
	const isDue = state.seeds.mustWrite === true || (isFirst && !isRecent);
	if (!isDue || state.role !== 'member') {
		return [];
	}

	const live = new Set(members.map(({address}) => address));
	const valid = outcome.localAddresses.filter((address) => live.has(address));
	const wanted = Math.min(maxSeeds, live.size);
	const isGood =
		valid.length >= (wanted * 2) / 3 &&
		outcome.memberCount <= 2 * members.length &&
		members.length <= 2 * outcome.memberCount;
	if (isGood) {
		return [];
	}

	const rest = [...live].filter((address) => !valid.includes(address));
	return [
		{
			kind: 'write-seeds',
			addresses: [...valid, ...rest].slice(0, maxSeeds),
			memberCount: members.length,
			version: outcome.version,
		},
	];
}

function findUnknownSeed(
	state: MembersState,
	addresses: readonly string[],
	random: () => number,
): string | undefined {
	const known = new Set(listMembers(state.table).map(({address}) => address));
	const unknownSeeds = addresses.filter(
		(address) => address !== state.self.address && !known.has(address),
	);
	return pickRandomItems(unknownSeeds, 1, random)[0];
}

/** Handles the outcome of a read of the seeds objects. */
export function handleSeeds(
	state: MembersState,
	outcome: SeedsOutcome,
	now: number,
	random: () => number,
): MembersStep {
	const failures = state.seeds.failures + 1;
	if (outcome.kind === 'unavailable') {
		const seeds = {...state.seeds, failures, isAvailable: false};
		return {state: {...state, seeds}, effects: []};
	}

	const hasNoLocalPeers = listLocalPeers(state).length === 0;
	const windowMs = Math.min(
		maxJoinWindowMs,
		joinWindowMsPerMember *
			Math.max(outcome.memberCount, countLocalMembers(state)),
	);
	const seeds = {
		...state.seeds,
		addresses: [
			...new Set([...state.seeds.configuredAddresses, ...outcome.addresses]),
		],
		failures: hasNoLocalPeers ? failures : 0,
		isAvailable: true,
		memberCount: outcome.memberCount,
		nextJoinAt:
			state.role === 'joining'
				? now + random() * windowMs
				: state.seeds.nextJoinAt,
	};
	const next = {...state, seeds};
	const hasNoOtherSeeds = seeds.addresses.every(
		(address) => address === state.self.address,
	);
	if (state.role === 'joining' && !hasNoOtherSeeds) {
		return windowMs < membersPeriodMs
			? startSeedSync(
					{...next, seeds: {...seeds, nextJoinAt: now}},
					now,
					random,
				)
			: {state: next, effects: []};
	}

	return handleSeedsAsMember(next, outcome, now, random);
}

function handleSeedsAsMember(
	state: MembersState,
	outcome: SeedsRead,
	now: number,
	random: () => number,
): MembersStep {
	const member = becomeMember(state);
	const next = {
		...member.state,
		seeds: {...member.state.seeds, mustWrite: false},
	};
	const hasNoLocalPeers = listLocalPeers(next).length === 0;
	const effects = [
		...member.effects,
		...writeSeeds(member.state, outcome, now),
	];
	if (hasNoLocalPeers) {
		const seedSync = startSeedSync(next, now, random);
		return {state: seedSync.state, effects: [...effects, ...seedSync.effects]};
	}

	const unknownSeed = findUnknownSeed(next, outcome.addresses, random);
	if (unknownSeed === undefined || next.sync) {
		return {state: next, effects};
	}

	const synced = startSync(next, unknownSeed, now);
	return {state: synced.state, effects: [...effects, ...synced.effects]};
}
