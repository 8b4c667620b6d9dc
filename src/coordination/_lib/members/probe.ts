/**
 * Failure detection by SWIM (Das, Gupta and Motivala, 2002).
 */
import {indirectProbeMs, indirectProbes} from '../../../protocol/constants.js';
import type {Member} from '../../../protocol/member.js';
import {findMember} from '../../../state/find-member.js';
import {listMembers} from '../../../state/list-members.js';
import type {MembersState, MembersStep} from '../../members-state.js';
import {putRecords} from './records.js';
import {
	describeSender,
	isLive,
	pickRandomItems,
	sendPing,
	createRequestEffect,
} from './send.js';

/** Lists the other live members of the local data centre. */
export function listLocalPeers(state: MembersState): readonly Member[] {
	return listMembers(state.table, state.self.dataCentre).filter((member) =>
		isLive(member),
	);
}

function changeState(
	state: MembersState,
	names: readonly string[],
	change: {readonly from: Member['state']; readonly to: Member['state']},
	now: number,
): MembersStep {
	const records = names.flatMap((name) => {
		const member = findMember(state.table, name);
		return member?.state === change.from ? [{...member, state: change.to}] : [];
	});
	return putRecords(state, records, now);
}

/** Marks as dead the members that did not refute their suspicion in time. */
export function expireSuspicions(
	state: MembersState,
	now: number,
): MembersStep {
	const names = [...state.suspicions]
		.filter(([, endsAt]) => endsAt <= now)
		.map(([name]) => name);
	return changeState(state, names, {from: 'suspect', to: 'dead'}, now);
}

/**
 * Marks the probed member as suspect when neither a direct nor an indirect
 * probe was answered in time.
 */
export function expireProbe(state: MembersState, now: number): MembersStep {
	const {probe} = state;
	if (!probe || probe.endsAt > now) {
		return {state, effects: []};
	}

	return changeState(
		{...state, probe: undefined},
		[probe.name],
		{from: 'alive', to: 'suspect'},
		now,
	);
}

/**
 * Probes the next member of the round; a round visits all local peers in random
 * order.
 */
export function startProbe(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	if (state.probe) {
		return {state, effects: []};
	}

	const order =
		state.probeOrder.length > 0
			? state.probeOrder
			: pickRandomItems(
					listLocalPeers(state).map(({name}) => name),
					Infinity,
					random,
				);
	const [name, ...rest] = order;
	const member = name === undefined ? undefined : findMember(state.table, name);
	if (!member || !isLive(member)) {
		return {state: {...state, probeOrder: rest}, effects: []};
	}

	return sendPing(
		{
			...state,
			probeOrder: rest,
			probe: {
				name: member.name,
				address: member.address,
				stage: 'direct',
				endsAt: now + 2 * indirectProbeMs,
			},
		},
		member.address,
		now,
	);
}

/** Ends a probe that was answered, directly or through another member. */
export function confirmProbe(state: MembersState, name: string): MembersState {
	return state.probe?.name === name ? {...state, probe: undefined} : state;
}

/**
 * Marks as dead the members of an address at which a node of another name has
 * answered: addresses are used again, and the new node answers every probe.
 */
export function expireReplacedMembers(
	state: MembersState,
	address: string,
	answeredName: string,
	now: number,
): MembersStep {
	const replaced = listLocalPeers(state).filter(
		(member) => member.address === address && member.name !== answeredName,
	);
	const records = replaced.map((member) => ({
		...member,
		state: 'dead' as const,
	}));
	return putRecords(state, records, now);
}

/**
 * Asks other members to probe a member that did not answer the direct probe.
 */
export function startIndirectProbes(
	state: MembersState,
	address: string,
	now: number,
	random: () => number,
): MembersStep {
	const {probe} = state;
	if (probe?.address !== address || probe.stage !== 'direct') {
		return {state, effects: []};
	}

	const others = listLocalPeers(state).filter(
		({name, state: memberState}) =>
			name !== probe.name && memberState === 'alive',
	);
	const request = {
		kind: 'relay' as const,
		from: describeSender(state),
		name: probe.name,
		address,
	};
	return {
		state: {
			...state,
			probe: {...probe, stage: 'indirect', endsAt: now + indirectProbeMs},
		},
		effects: pickRandomItems(others, indirectProbes, random).map((member) =>
			createRequestEffect(member.address, request),
		),
	};
}
