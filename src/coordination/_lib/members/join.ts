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
	seedsMendBaseMs,
	seedsMendCapMs,
	seedsRefreshMs,
	seedsRetryCapMs,
	seedsRetryMs,
	seedsRetryMsPerMember,
	seedsWatchWaitMs,
	seedsWriteIntervalMs,
} from '../../../protocol/constants.js';
import {listMembers} from '../../../state/list-members.js';
import {computeBridges} from '../../compute-bridges.js';
import type {
	MembersEffect,
	MembersState,
	MembersStep,
	SeedsOutcome,
	SeedsState,
	SeedsWatchOutcome,
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

function listSeedPool(state: MembersState): readonly string[] {
	const known = listMembers(state.table)
		.filter((member) => isLive(member))
		.map(({address}) => address);
	return [...new Set([...state.seeds.addresses, ...known])].filter(
		(address) => address !== state.self.address,
	);
}

/**
 * Picks a seed that has not failed, by turns from the local data centre's object
 * and from the rest, so that an object whose addresses lead nowhere costs every
 * second try at most.
 */
function pickSeed(
	state: MembersState,
	random: () => number,
): string | undefined {
	const {failedAddresses, localAddresses} = state.seeds;
	const pool = listSeedPool(state);
	const untried = pool.filter((address) => !failedAddresses.has(address));
	const candidates = untried.length > 0 ? untried : pool;
	const local = candidates.filter((address) =>
		localAddresses.includes(address),
	);
	const rest = candidates.filter(
		(address) => !localAddresses.includes(address),
	);
	const [first, second] =
		failedAddresses.size % 2 === 0 ? [local, rest] : [rest, local];
	return pickRandomItems(first.length > 0 ? first : second, 1, random)[0];
}

/**
 * Handles the failure of a sync with a seed. A node that knows no other one
 * tries the next address at once; after the last one it waits as usual.
 */
export function handleSeedSyncFailure(
	state: MembersState,
	address: string,
	now: number,
	random: () => number,
): MembersStep {
	const {role, seeds} = state;
	const isAlone =
		role === 'joining' ||
		(role === 'member' && listLocalPeers(state).length === 0);
	if (!isAlone) {
		return {state, effects: []};
	}

	const failedAddresses = new Set([...seeds.failedAddresses, address]);
	const isLast = listSeedPool(state).every((seed) => failedAddresses.has(seed));
	return isLast
		? {
				state: {...state, seeds: {...seeds, failedAddresses: new Set()}},
				effects: [],
			}
		: startSeedSync(
				{...state, seeds: {...seeds, failedAddresses, nextJoinAt: now}},
				now,
				random,
			);
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
	const {startedAt, sync, seeds} = state;
	const hasTried = sync !== undefined || now >= seeds.nextJoinAt;
	const isAnswered = sync !== undefined && sync.remaining.length > 0;
	const isOver = now - startedAt >= joinTimeoutMs && hasTried && !isAnswered;
	return isOver ? becomeMember(state) : {state, effects: []};
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
 * Watches the seeds objects on the first bridge, so that an object that another
 * writer has replaced is written again before a node starts and finds nobody.
 */
export function startSeedsWatch(state: MembersState): MembersStep {
	const {seeds, self} = state;
	const {revision, isWatching} = seeds;
	if (isWatching || revision === undefined) {
		return {state, effects: []};
	}

	const members = [self, ...listLocalPeers(state)];
	return computeBridges(members)[0]?.name === self.name
		? {
				state: {...state, seeds: {...seeds, isWatching: true}},
				effects: [{kind: 'watch-seeds', revision, waitMs: seedsWatchWaitMs}],
			}
		: {state, effects: []};
}

/**
 * Handles the end of a watch on the seeds objects. After a change the objects are
 * read with the next period, which bounds the reads when changes follow fast.
 */
export function handleSeedsWatched(
	state: MembersState,
	outcome: SeedsWatchOutcome,
	now: number,
): MembersStep {
	const seeds = {...state.seeds, isWatching: false, revision: undefined};
	switch (outcome.kind) {
		case 'changed': {
			return {
				state: {...state, seeds: {...seeds, nextReadAt: now}},
				effects: [],
			};
		}

		case 'unchanged': {
			const {revision} = outcome;
			return {state: {...state, seeds: {...seeds, revision}}, effects: []};
		}

		case 'failed': {
			return {state: {...state, seeds}, effects: []};
		}
	}
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

/** Returns whether the local data centre's object lets a starting node join. */
function isGoodObject(
	outcome: SeedsRead,
	memberCount: number,
	live: ReadonlySet<string>,
): boolean {
	const {localAddresses, isDamaged = false} = outcome;
	const valid = localAddresses.filter((address) => live.has(address));
	const wanted = Math.min(maxSeeds, live.size);
	return (
		!isDamaged &&
		valid.length >= (wanted * 2) / 3 &&
		outcome.memberCount <= 2 * memberCount &&
		memberCount <= 2 * outcome.memberCount
	);
}

/**
 * Writes the local data centre's object if it is not good. While writes do not
 * mend it, the delay between them doubles.
 */
function writeSeeds(
	state: MembersState,
	outcome: SeedsRead,
	now: number,
): MembersStep {
	const {seeds} = state;
	const settled = {...seeds, mustWrite: false};
	const members = [state.self, ...listLocalPeers(state)];
	const live = new Set(members.map(({address}) => address));
	if (isGoodObject(outcome, members.length, live)) {
		const good = {...settled, vainWrites: 0, nextWriteAt: -Infinity};
		return {state: {...state, seeds: good}, effects: []};
	}

	const isFirst = computeBridges(members)[0]?.name === state.self.name;
	if (state.role !== 'member' || !(isFirst || seeds.mustWrite === true)) {
		return {state: {...state, seeds: settled}, effects: []};
	}

	const allowedAt = computeNextWriteAt(state, outcome, now);
	if (now < allowedAt) {
		const nextReadAt = Math.min(seeds.nextReadAt, allowedAt);
		return {state: {...state, seeds: {...seeds, nextReadAt}}, effects: []};
	}

	const valid = outcome.localAddresses.filter((address) => live.has(address));
	const rest = [...live].filter((address) => !valid.includes(address));
	const delayMs = seedsMendBaseMs * 2 ** Math.min(seeds.vainWrites, 10);
	const written: SeedsState = {
		...settled,
		vainWrites: seeds.vainWrites + 1,
		nextWriteAt: now + Math.min(delayMs, seedsMendCapMs),
	};
	return {
		state: {...state, seeds: written},
		effects: [
			{
				kind: 'write-seeds',
				addresses: [...valid, ...rest].slice(0, maxSeeds),
				memberCount: members.length,
				version: outcome.version,
			},
		],
	};
}

/**
 * Computes when the object may be written: a while after another node has written
 * it, unless it is damaged, which no node's write is.
 */
function computeNextWriteAt(
	state: MembersState,
	outcome: SeedsRead,
	now: number,
): number {
	const {seeds, wallOffsetMs} = state;
	const {version, isDamaged = false, writtenMs} = outcome;
	const isOthers =
		version !== undefined && !isDamaged && seeds.mustWrite !== true;
	return isOthers
		? Math.max(
				seeds.nextWriteAt,
				writtenMs + seedsWriteIntervalMs - wallOffsetMs,
			)
		: seeds.nextWriteAt;
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
		localAddresses: outcome.localAddresses,
		isAvailable: true,
		memberCount: outcome.memberCount,
		revision: outcome.revision === 0 ? undefined : outcome.revision,
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
	const written = writeSeeds(member.state, outcome, now);
	const next = written.state;
	const hasNoLocalPeers = listLocalPeers(next).length === 0;
	const effects = [...member.effects, ...written.effects];
	if (hasNoLocalPeers) {
		const seedSync = startSeedSync(next, now, random);
		return {state: seedSync.state, effects: [...effects, ...seedSync.effects]};
	}

	const unknownSeed = findUnknownSeed(next, outcome.addresses, random);
	if (unknownSeed === undefined) {
		return {state: next, effects};
	}

	if (next.sync) {
		// Only one sync runs at a time; the address is looked at again after it.
		const nextReadAt = Math.min(next.seeds.nextReadAt, now + membersPeriodMs);
		return {state: {...next, seeds: {...next.seeds, nextReadAt}}, effects};
	}

	const synced = startSync(next, unknownSeed, now);
	return {state: synced.state, effects: [...effects, ...synced.effects]};
}
