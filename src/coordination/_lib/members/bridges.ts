/**
 * Helpers of the bridges between data centres.
 */
import {
	bridgePeriodMs,
	maxRecordsPerBucket,
	membersPeriodMs,
	syncPeriodMs,
	unreachableAfterMs,
} from '../../../protocol/constants.js';
import {listMembers} from '../../../state/list-members.js';
import {computeBridges} from '../../compute-bridges.js';
import type {
	DataCentreContact,
	MembersEffect,
	MembersState,
	MembersStep,
} from '../../members-state.js';
import {listLocalPeers} from './probe.js';
import {updateSelf} from './records.js';
import {
	describeSender,
	encodeRecords,
	findRecord,
	isLive,
	pickRandomItems,
	createRequestEffect,
} from './send.js';
import {startSync} from './sync.js';

/** Whether the own node is a bridge in its own view. */
export function isBridge(state: MembersState): boolean {
	const {self, role} = state;
	return (
		role === 'member' &&
		computeBridges([self, ...listLocalPeers(state)]).some(
			({name}) => name === self.name,
		)
	);
}

function pickContact(
	state: MembersState,
	dataCentre: string,
	random: () => number,
): string | undefined {
	const live = listMembers(state.table, dataCentre).filter((member) =>
		isLive(member),
	);
	const hasFailed = state.contacts.get(dataCentre)?.hasFailed ?? false;
	const pool = hasFailed && random() < 0.5 ? live : computeBridges(live);
	return pickRandomItems(pool, 1, random)[0]?.address;
}

function listRemote(state: MembersState): string[] {
	return [...state.table.keys()].filter(
		(dataCentre) => dataCentre !== state.self.dataCentre,
	);
}

function listRelayed(state: MembersState): string[] {
	return [...state.pendingRelays].filter((name) => {
		const member = findRecord(state, name);
		return (
			member?.dataCentre === state.self.dataCentre && member.state !== 'suspect'
		);
	});
}

/** Sends changes of the own data centre to bridges of the others. */
export function relayChanges(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	const names = listRelayed(state);
	const next = {...state, relays: new Set<string>()};
	if (names.length === 0 || state.role !== 'member') {
		return {state: next, effects: []};
	}

	const remote = listRemote(state);
	if (remote.length === 0 || !isBridge(state)) {
		return {state: next, effects: []};
	}

	const records = encodeRecords(
		state,
		names.slice(0, maxRecordsPerBucket),
		now,
	);
	const request = {kind: 'ping' as const, from: describeSender(state), records};
	const effects = remote.flatMap((dataCentre) => {
		const address = pickContact(state, dataCentre, random);
		return address === undefined ? [] : [createRequestEffect(address, request)];
	});
	return {state: next, effects};
}

function askContacts(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	const contacts = new Map(state.contacts);
	const effects: MembersEffect[] = [];
	for (const dataCentre of listRemote(state)) {
		const contact: DataCentreContact = contacts.get(dataCentre) ?? {
			pingedAt: now - random() * bridgePeriodMs,
			answeredAt: now,
			hasFailed: false,
			resentAt: -Infinity,
		};
		contacts.set(dataCentre, contact);
		const address = pickContact(state, dataCentre, random);
		if (now - contact.pingedAt < bridgePeriodMs || address === undefined) {
			continue;
		}

		contacts.set(dataCentre, {...contact, pingedAt: now});
		effects.push(
			createRequestEffect(address, {
				kind: 'ping',
				from: describeSender(state),
				records: [],
			}),
		);
	}

	return {state: {...state, contacts}, effects};
}

function markUnreachable(state: MembersState, now: number): MembersStep {
	const unreachable = [...state.contacts]
		.filter(([, {answeredAt}]) => now - answeredAt > unreachableAfterMs)
		.map(([dataCentre]) => dataCentre)
		.toSorted();
	const known = state.self.unreachable ?? [];
	return unreachable.join(' ') === known.join(' ')
		? {state, effects: []}
		: updateSelf(state, {unreachable});
}

/** Does a bridge's part of a period; another node's is to stop being one. */
export function runBridge(
	state: MembersState,
	now: number,
	random: () => number,
): MembersStep {
	if (!isBridge(state)) {
		const next = {...state, contacts: new Map(), relays: new Set<string>()};
		return (state.self.unreachable ?? []).length > 0
			? updateSelf(next, {unreachable: []})
			: {state: next, effects: []};
	}

	const asked = askContacts(state, now, random);
	const marked = markUnreachable(asked.state, now);
	const effects = [...asked.effects, ...marked.effects];
	const remote = listRemote(marked.state);
	const isDue = random() < membersPeriodMs / syncPeriodMs;
	const isBusy = marked.state.sync !== undefined;
	if (isBusy || !isDue || remote.length === 0) {
		return {state: marked.state, effects};
	}

	const dataCentre = pickRandomItems(remote, 1, random)[0]!;
	const address = pickContact(marked.state, dataCentre, random);
	if (address === undefined) {
		return {state: marked.state, effects};
	}

	const synced = startSync(marked.state, address, now);
	return {state: synced.state, effects: [...effects, ...synced.effects]};
}

/** Notes that a data centre answered; one that was silent is compared. */
export function recordContactAnswer(
	state: MembersState,
	dataCentre: string,
	address: string,
	now: number,
): MembersStep {
	const contact = state.contacts.get(dataCentre);
	if (!contact) {
		return {state, effects: []};
	}

	const contacts = new Map(state.contacts).set(dataCentre, {
		...contact,
		answeredAt: now,
		hasFailed: false,
	});
	const next = {...state, contacts};
	return contact.hasFailed && !state.sync
		? startSync(next, address, now)
		: {state: next, effects: []};
}

/** Notes that a member of another data centre did not answer. */
export function recordContactFailure(
	state: MembersState,
	address: string,
): MembersState {
	const failed = [...state.contacts].find(([dataCentre]) =>
		listMembers(state.table, dataCentre).some(
			(member) => member.address === address,
		),
	);
	if (!failed) {
		return state;
	}

	const [dataCentre, contact] = failed;
	const contacts = new Map(state.contacts).set(dataCentre, {
		...contact,
		hasFailed: true,
	});
	return {...state, contacts};
}
