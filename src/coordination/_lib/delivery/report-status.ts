import {
	dataCentreStatusSchema,
	type DataCentreStatus,
} from '../../../protocol/configuration.js';
import {
	statusHeartbeatMs,
	statusIntervalMs,
} from '../../../protocol/constants.js';
import type {Member} from '../../../protocol/member.js';
import type {PlatformOutcome} from '../../../protocol/platform.js';
import type {
	CallPurpose,
	DeliveryState,
	DeliveryStep,
} from '../../delivery-state.js';
import {
	addNameSums,
	computeNameHash,
	computeProgress,
} from './compute-progress.js';
import {hasCall, type DeliveryAction} from './delivery-context.js';
import {startPlatformCall} from './plan-calls.js';

function isExpected(member: Member, state: DeliveryState): boolean {
	return (
		member.dataCentre === state.dataCentre &&
		(member.name === state.name ||
			member.state === 'alive' ||
			member.state === 'suspect')
	);
}

function computeStatus(state: DeliveryState, now: number): DataCentreStatus {
	const progress = computeProgress(state);
	const expected = state.members.filter((member) => isExpected(member, state));
	const expectedSum = addNameSums(
		expected.map(({name}) => computeNameHash(name)),
	);
	const isComplete =
		expected.length === progress.members && expectedSum === progress.nameSum;
	const version = isComplete
		? Math.max(state.status.version, progress.version)
		: state.status.version;
	return {
		dataCentre: state.dataCentre,
		version,
		lowestVersion: progress.version,
		members: progress.members,
		expectedMembers: expected.length,
		laggards: progress.laggards,
		refusals: progress.refusals,
		writtenAtMs: now,
		writer: state.name,
	};
}

/** Writes the data centre's status when it is due and this is the first root. */
export const planStatus: DeliveryAction = (state, context) => {
	const {now} = context;
	const {position, status} = state;
	const isFirst = position?.kind === 'root' && position.rank === 0;
	const isDue =
		isFirst &&
		now - status.at >= statusIntervalMs &&
		!hasCall(state, 'status-read', 'status-write');
	if (!isDue) {
		return {state, effects: []};
	}

	const key = `status/${state.dataCentre}`;
	if (!status.condition) {
		const next = {...state, status: {...status, at: now}};
		return startPlatformCall(
			next,
			{kind: 'status-read'},
			{kind: 'read', key},
			now,
		);
	}

	const value = computeStatus(state, now);
	const text = JSON.stringify({...value, writtenAtMs: 0});
	if (text === status.text && now - status.at < statusHeartbeatMs) {
		return {state, effects: []};
	}

	return startPlatformCall(
		{...state, status: {...status, text, at: now}},
		{kind: 'status-write', status: value},
		{kind: 'write', key, value, condition: status.condition},
		now,
	);
};

/** Handles the end of a read or a write of the data centre's status. */
export function handleStatusAnswer(
	state: DeliveryState,
	purpose: Extract<CallPurpose, {kind: 'status-read' | 'status-write'}>,
	outcome: PlatformOutcome,
): DeliveryStep {
	const {status} = state;
	if (purpose.kind === 'status-write') {
		const {version} = purpose.status;
		const next =
			outcome.kind === 'written'
				? {
						...status,
						version: Math.max(version, status.version),
						condition: {kind: 'version', version: outcome.version} as const,
					}
				: {...status, condition: undefined, text: ''};
		return {state: {...state, status: next}, effects: []};
	}

	if (outcome.kind === 'absent') {
		const next = {...status, at: 0, condition: {kind: 'absent'} as const};
		return {state: {...state, status: next}, effects: []};
	}

	if (outcome.kind !== 'found') {
		return {state, effects: []};
	}

	const {value, version} = outcome.object;
	const found = dataCentreStatusSchema.safeParse(value).data?.version ?? 0;
	const next = {
		...status,
		at: 0,
		version: Math.max(found, status.version),
		condition: {kind: 'version', version} as const,
	};
	return {state: {...state, status: next}, effects: []};
}
