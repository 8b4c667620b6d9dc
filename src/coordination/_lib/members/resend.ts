/**
 * Helpers that send records again which a member did not take.
 */
import {
	exchangeTimeoutMs,
	spreadDelayMs,
	spreadFanOut,
	unreachableAfterMs,
} from '../../../protocol/constants.js';
import type {Exchange} from '../../../protocol/member.js';
import {listMembers} from '../../../state/list-members.js';
import {computeBridges} from '../../compute-bridges.js';
import type {
	MembersEffect,
	MembersState,
	MembersStep,
} from '../../members-state.js';
import {listLocalPeers} from './probe.js';
import {
	encodeRecords,
	isLive,
	pickRandomItems,
	createRequestEffect,
} from './send.js';

type Chance = {readonly now: number; readonly random: () => number};

/**
 * Sends the own record to other data centres itself when a bridge, which ought
 * to do so, does not answer.
 */
function actAsBridge(
	state: MembersState,
	request: Exchange,
	{now, random}: Chance,
): MembersStep {
	if (now - state.rateLimits.bridgeBypassedAt < exchangeTimeoutMs) {
		return {state, effects: []};
	}

	const remote = [...state.table.keys()].filter(
		(dataCentre) => dataCentre !== state.self.dataCentre,
	);
	return {
		state: {...state, rateLimits: {...state.rateLimits, bridgeBypassedAt: now}},
		effects: remote.flatMap((dataCentre) => {
			const live = listMembers(state.table, dataCentre).filter((member) =>
				isLive(member),
			);
			return pickRandomItems(live, 2, random).map((member) =>
				createRequestEffect(member.address, request),
			);
		}),
	};
}

function spreadAgain(
	state: MembersState,
	address: string,
	request: Extract<Exchange, {readonly kind: 'ping'}>,
	chance: Chance,
): MembersStep {
	const names = request.records.map(({name}) => name);
	const fresh = new Set([...state.pendingSpread, ...names]);
	const planned: MembersEffect[] = state.isSpreadScheduled
		? []
		: [{kind: 'schedule-spread', delayMs: spreadDelayMs}];
	const next = {...state, fresh, isSpreadPlanned: true};
	const bridges = computeBridges([state.self, ...listLocalPeers(state)]);
	const isBridgeLost = bridges.some((bridge) => bridge.address === address);
	if (!isBridgeLost || !names.includes(state.self.name)) {
		return {state: next, effects: planned};
	}

	const records = encodeRecords(state, [state.self.name], chance.now);
	const acted = actAsBridge(next, {...request, records}, chance);
	return {state: acted.state, effects: [...planned, ...acted.effects]};
}

/** Sends records to others of a data centre, at a bounded rate for a time. */
function relayAgain(
	state: MembersState,
	dataCentre: string,
	request: Exchange,
	{now, random}: Chance,
): MembersStep {
	const contact = state.contacts.get(dataCentre);
	const isDue =
		contact !== undefined &&
		now - contact.answeredAt < unreachableAfterMs &&
		now - contact.resentAt >= exchangeTimeoutMs / 2;
	if (!isDue) {
		return {state, effects: []};
	}

	const contacts = new Map(state.contacts).set(dataCentre, {
		...contact,
		resentAt: now,
	});
	const live = listMembers(state.table, dataCentre).filter((member) =>
		isLive(member),
	);
	return {
		state: {...state, contacts},
		effects: pickRandomItems(live, spreadFanOut, random).map((member) =>
			createRequestEffect(member.address, request),
		),
	};
}

/**
 * Sends the records of a ping that failed to other members of the same data
 * centre, as the one that was picked may be one of many that just died.
 */
export function resendRecords(
	state: MembersState,
	address: string,
	request: Exchange,
	chance: Chance,
): MembersStep {
	if (
		request.kind !== 'ping' ||
		request.records.length === 0 ||
		state.role !== 'member'
	) {
		return {state, effects: []};
	}

	const failed = listMembers(state.table).find(
		(member) => member.address === address,
	);
	if (!failed) {
		return {state, effects: []};
	}

	return failed.dataCentre === state.self.dataCentre
		? spreadAgain(state, address, request, chance)
		: relayAgain(state, failed.dataCentre, request, chance);
}
