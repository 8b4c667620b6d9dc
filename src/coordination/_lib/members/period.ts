/**
 * Periodic tasks of membership.
 */
import {membersPeriodMs, syncPeriodMs} from '../../../protocol/constants.js';
import {listMembers} from '../../../state/list-members.js';
import type {MembersState, MembersStep} from '../../members-state.js';
import {runBridge} from './bridges.js';
import {expireDepartures} from './departures.js';
import {recheckName} from './identity.js';
import {
	handleJoinTimeout,
	refreshSeeds,
	startSeedSync,
	startSeedsWatch,
} from './join.js';
import {
	expireProbe,
	expireSuspicions,
	listLocalPeers,
	startProbe,
} from './probe.js';
import {expireTombstones} from './records.js';
import {runActions} from './run-actions.js';
import {pickRandomItems, sendPing} from './send.js';
import {abortSync, startSync} from './sync.js';

/** Syncs with a random local peer, on average once per `syncPeriodMs`. */
function syncWithLocalPeer(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	const target = pickRandomItems(listLocalPeers(state), 1, random)[0];
	const isDue = random() < membersPeriodMs / syncPeriodMs;
	if (!isDue || state.sync !== undefined || !target) {
		return {state, effects: []};
	}

	return startSync(state, target.address, now);
}

/**
 * Pings a random dead member, on average once per `syncPeriodMs`, as it may
 * only have been partitioned.
 */
function pingDeadMember(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	if (random() >= membersPeriodMs / syncPeriodMs) {
		return {state, effects: []};
	}

	const dead = listMembers(state.table, state.self.dataCentre).filter(
		(member) => member.state === 'dead',
	);
	const target = pickRandomItems(dead, 1, random)[0];
	return target ? sendPing(state, target.address, now) : {state, effects: []};
}

function abortLateSync(state: MembersState, now: number): MembersState {
	const isLate =
		state.sync !== undefined &&
		now - state.sync.startedAt > 4 * membersPeriodMs;
	return isLate ? abortSync(state) : state;
}

/** Runs the tasks of one period. */
export function runPeriod(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	switch (state.role) {
		case 'left': {
			return {state, effects: []};
		}

		case 'refused': {
			return recheckName(state, now);
		}

		case 'joining': {
			return runActions(abortLateSync(state, now), [
				(next) => refreshSeeds(next, now, random),
				(next) => startSeedSync(next, now, random),
				(next) => handleJoinTimeout(next, now),
			]);
		}

		case 'member': {
			const remembered = expireDepartures(abortLateSync(state, now), now);
			return runActions(expireTombstones(remembered, now), [
				(next) => expireSuspicions(next, now),
				(next) => expireProbe(next, now),
				(next) => startProbe(next, now, random),
				(next) => pingDeadMember(next, now, random),
				(next) => runBridge(next, now, random),
				(next) => syncWithLocalPeer(next, now, random),
				(next) => refreshSeeds(next, now, random),
				(next) => startSeedSync(next, now, random),
				startSeedsWatch,
			]);
		}
	}
}
