/**
 * Helpers that resend records that did not reach a member.
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

type ResendContext = {readonly now: number; readonly random: () => number};

/**
 * Sends this node's record to other data centres directly when a bridge, which
 * would relay it, does not answer.
 */
function bypassBridges(
	state: MembersState,
	request: Exchange,
	{now, random}: ResendContext,
): MembersStep {
	if (now - state.rateLimits.bridgeBypassedAt < exchangeTimeoutMs) {
		return {state, effects: []};
	}

	const remoteDataCentres = [...state.table.keys()].filter(
		(dataCentre) => dataCentre !== state.self.dataCentre,
	);
	return {
		state: {...state, rateLimits: {...state.rateLimits, bridgeBypassedAt: now}},
		effects: remoteDataCentres.flatMap((dataCentre) => {
			const live = listMembers(state.table, dataCentre).filter((member) =>
				isLive(member),
			);
			return pickRandomItems(live, 2, random).map((member) =>
				createRequestEffect(member.address, request),
			);
		}),
	};
}

function resendInDataCentre(
	state: MembersState,
	address: string,
	request: Extract<Exchange, {readonly kind: 'ping'}>,
	context: ResendContext,
): MembersStep {
	const names = request.records.map(({name}) => name);
	const pendingSpread = new Set([...state.pendingSpread, ...names]);
	const scheduled: MembersEffect[] = state.isSpreadScheduled
		? []
		: [{kind: 'schedule-spread', delayMs: spreadDelayMs}];
	const next = {...state, pendingSpread, isSpreadScheduled: true};
	const bridges = computeBridges([state.self, ...listLocalPeers(state)]);
	const isBridgeLost = bridges.some((bridge) => bridge.address === address);
	if (!isBridgeLost || !names.includes(state.self.name)) {
		return {state: next, effects: scheduled};
	}

	const records = encodeRecords(state, [state.self.name], context.now);
	const bypassed = bypassBridges(next, {...request, records}, context);
	return {state: bypassed.state, effects: [...scheduled, ...bypassed.effects]};
}

/**
 * Resends records to other members of a data centre, at a bounded rate and
 * until the data centre counts as unreachable.
 */
function resendToDataCentre(
	state: MembersState,
	dataCentre: string,
	request: Exchange,
	{now, random}: ResendContext,
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
 * Resends the records of a failed ping to other members of the same data centre.
 * The target may be one of many members that have failed at the same time.
 */
export function resendRecords(
	state: MembersState,
	address: string,
	request: Exchange,
	context: ResendContext,
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
		? resendInDataCentre(state, address, request, context)
		: resendToDataCentre(state, failed.dataCentre, request, context);
}
