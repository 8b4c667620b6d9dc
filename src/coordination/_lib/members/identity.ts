/**
 * Helpers that refute false claims about this node and resolve conflicts over
 * its name.
 */
import {
	nameCheckIntervalMs,
	refuteIntervalMs,
} from '../../../protocol/constants.js';
import type {Member, Sender} from '../../../protocol/member.js';
import type {
	MembersEffect,
	MembersState,
	MembersStep,
} from '../../members-state.js';
import {isPlausibleIncarnation, updateSelf} from './records.js';
import {describeSender, createRequestEffect} from './send.js';

function refuteClaim(
	state: MembersState,
	incarnation: number,
	now: number,
): MembersStep {
	if (now - state.rateLimits.refutedAt < refuteIntervalMs) {
		return {state, effects: []};
	}

	const rateLimits = {...state.rateLimits, refutedAt: now};
	return updateSelf(
		{...state, rateLimits},
		{incarnation: Math.max(state.self.incarnation, incarnation) + 1},
	);
}

function createPingEffect(state: MembersState, address: string): MembersEffect {
	return createRequestEffect(address, {
		kind: 'ping',
		from: describeSender(state),
		records: [],
	});
}

function checkName(
	state: MembersState,
	claim: Pick<Member, 'address' | 'incarnation'>,
	now: number,
): MembersStep {
	const {address, incarnation} = claim;
	const {nameCheck} = state;
	if (nameCheck && now - nameCheck.startedAt < nameCheckIntervalMs) {
		return {state, effects: []};
	}

	return {
		state: {...state, nameCheck: {address, incarnation, startedAt: now}},
		effects: [createPingEffect(state, address)],
	};
}

/** Handles a record that another member holds of this node. */
export function handleSelfClaim(
	state: MembersState,
	claim: Pick<Member, 'address' | 'incarnation' | 'state' | 'sequence'>,
	now: number,
): MembersStep {
	const {self, role} = state;
	if (
		role === 'left' ||
		role === 'refused' ||
		claim.incarnation < self.incarnation
	) {
		return {state, effects: []};
	}

	if (claim.address !== self.address && claim.state === 'alive') {
		return checkName(state, claim, now);
	}

	const isOwn =
		claim.incarnation === self.incarnation &&
		claim.state === 'alive' &&
		claim.sequence <= self.sequence;
	return isOwn
		? {state, effects: []}
		: refuteClaim(state, claim.incarnation, now);
}

/**
 * Handles proof that another live process has this node's name. The process that
 * started later is refused.
 */
export function handleNameConflict(
	state: MembersState,
	rival: Sender,
	now: number,
): MembersStep {
	const {self, role, startedMs} = state;
	if (role === 'left') {
		return {state, effects: []};
	}

	// No node holds a record with an implausible incarnation, so that it need not be refuted.
	const incarnation = isPlausibleIncarnation(state, rival.incarnation, now)
		? rival.incarnation
		: 0;

	const isLater =
		startedMs > rival.startedMs ||
		(startedMs === rival.startedMs && self.address > rival.address);
	if (!isLater) {
		return incarnation >= self.incarnation
			? refuteClaim({...state, nameCheck: undefined}, incarnation, now)
			: {state: {...state, nameCheck: undefined}, effects: []};
	}

	const {address} = rival;
	const next = {
		...state,
		role: 'refused' as const,
		nameCheck: {address, incarnation, startedAt: now},
		probe: undefined,
		sync: undefined,
	};
	const effects: MembersEffect[] =
		role === 'refused'
			? []
			: [
					{
						kind: 'log',
						level: 'error',
						text: `name already in use by the host at ${address}; not joining until that host is gone`,
						member: self.name,
					},
				];
	return {state: next, effects};
}

/**
 * Ends a name check whose host did not answer or answered under another name;
 * refutes the checked claim, unless this node is not refused and its
 * incarnation is already higher.
 */
export function endNameCheck(
	state: MembersState,
	address: string,
	now: number,
): MembersStep {
	const {nameCheck, role, self} = state;
	if (nameCheck?.address !== address) {
		return {state, effects: []};
	}

	const next = {
		...state,
		nameCheck: undefined,
		role: role === 'refused' ? ('joining' as const) : role,
	};
	return nameCheck.incarnation >= self.incarnation || role === 'refused'
		? refuteClaim(next, nameCheck.incarnation, now)
		: {state: next, effects: []};
}

/** Checks periodically, while refused, whether the name is still in use. */
export function recheckName(state: MembersState, now: number): MembersStep {
	const {nameCheck, role} = state;
	if (role !== 'refused' || !nameCheck) {
		return {state, effects: []};
	}

	return checkName(state, nameCheck, now);
}
