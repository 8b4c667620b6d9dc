/**
 * Helpers that defend the own name and incarnation.
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
import {updateSelf} from './records.js';
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

function askForName(state: MembersState, address: string): MembersEffect {
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
		effects: [askForName(state, address)],
	};
}

/** Handles a claim about the own node. */
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

/** Handles proof that another live process has the own name. */
export function handleNameConflict(
	state: MembersState,
	twin: Sender,
	now: number,
): MembersStep {
	const {self, role, startedMs} = state;
	if (role === 'left') {
		return {state, effects: []};
	}

	const isLater =
		startedMs > twin.startedMs ||
		(startedMs === twin.startedMs && self.address > twin.address);
	if (!isLater) {
		return twin.incarnation >= self.incarnation
			? refuteClaim({...state, nameCheck: undefined}, twin.incarnation, now)
			: {state: {...state, nameCheck: undefined}, effects: []};
	}

	const {address, incarnation} = twin;
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
						text: `the host at ${address} has this name; taking no part until it is gone`,
						member: self.name,
					},
				];
	return {state: next, effects};
}

/** Handles the lack of an answer from the host that seemed to have the name. */
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

/** Asks the holder of the name again from time to time, while refused. */
export function recheckName(state: MembersState, now: number): MembersStep {
	const {nameCheck, role} = state;
	if (role !== 'refused' || !nameCheck) {
		return {state, effects: []};
	}

	return checkName(state, nameCheck, now);
}
