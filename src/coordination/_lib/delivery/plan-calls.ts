import {
	callGraceMs,
	logListLimit,
	reportIntervalMs,
	platformTimeoutMs,
	pollWaitMs,
	startProbeIntervalMs,
	statusIntervalMs,
	watchWaitMs,
} from '../../../protocol/constants.js';
import type {Member} from '../../../protocol/member.js';
import type {PlatformCall} from '../../../protocol/platform.js';
import {formatLogKey, logPrefix} from '../../../state/format-log-key.js';
import {
	formatSnapshotKey,
	snapshotHeadKey,
} from '../../../state/format-snapshot-key.js';
import type {
	CallPurpose,
	DeliveryState,
	DeliveryStep,
	SourceMode,
} from '../../delivery-state.js';
import {computeRoots} from '../../compute-roots.js';
import {
	addCall,
	hasCall,
	findNewestConfiguration,
	runDeliveryActions,
	type DeliveryContext,
	type DeliveryAction,
} from './delivery-context.js';
import {formatReport, startPoll} from './start-poll.js';

const noEffects: DeliveryStep['effects'] = [];

/** Starts a call to the platform. */
export function startPlatformCall(
	state: DeliveryState,
	purpose: CallPurpose,
	call: PlatformCall,
	now: number,
): DeliveryStep {
	const waitMs = call.kind === 'watch' ? call.waitMs : 0;
	const endsAt = now + waitMs + platformTimeoutMs + callGraceMs;
	const added = addCall(state, {purpose, endsAt});
	return {
		state: added.state,
		effects: [{kind: 'call', callId: added.callId, call}],
	};
}

function createSourceCall(
	state: DeliveryState,
	context: DeliveryContext,
): PlatformCall {
	const mode: SourceMode = state.source;
	switch (mode.kind) {
		case 'head': {
			return {kind: 'read', key: snapshotHeadKey};
		}

		case 'chunk': {
			const {head, texts} = mode;
			return {kind: 'read', key: formatSnapshotKey(head.version, texts.length)};
		}

		case 'catch-up': {
			const {version} = findNewestConfiguration(state);
			const {ringSize} = context.rules;
			const isWrapped = (version + 1) % ringSize === 0;
			const after = isWrapped ? '' : formatLogKey(version, ringSize);
			return {kind: 'list', prefix: logPrefix, after, limit: logListLimit};
		}

		case 'watch': {
			const {revision: after} = mode;
			return {kind: 'watch', prefix: logPrefix, after, waitMs: watchWaitMs};
		}
	}
}

const planSource: DeliveryAction = (state, context) => {
	const isDue =
		state.position?.kind === 'root' &&
		context.now >= state.nextSourceCallAt &&
		!hasCall(state, 'source');
	return isDue
		? startPlatformCall(
				state,
				{kind: 'source', mode: state.source},
				createSourceCall(state, context),
				context.now,
			)
		: {state, effects: noEffects};
};

function planNextSlotRead(
	state: DeliveryState,
	purpose: 'probe' | 'start-probe',
	context: DeliveryContext,
): DeliveryStep {
	const next = findNewestConfiguration(state).version + 1;
	const key = formatLogKey(next, context.rules.ringSize);
	const call: PlatformCall = {kind: 'read', key};
	return startPlatformCall(state, {kind: purpose}, call, context.now);
}

const planProbe: DeliveryAction = (state, context) => {
	const {now, rules} = context;
	const isDue =
		state.position?.kind === 'root' &&
		state.source.kind === 'watch' &&
		now >= state.nextProbeAt &&
		!hasCall(state, 'probe');
	return isDue
		? planNextSlotRead(
				{...state, nextProbeAt: now + rules.probeIntervalMs},
				'probe',
				context,
			)
		: {state, effects: noEffects};
};

const planStartProbe: DeliveryAction = (state, context) => {
	const {now} = context;
	const isDue =
		!state.isSettled &&
		state.position?.kind === 'child' &&
		findNewestConfiguration(state).version > 0 &&
		now >= state.nextStartProbeAt &&
		!hasCall(state, 'start-probe');
	return isDue
		? planNextSlotRead(
				{...state, nextStartProbeAt: now + startProbeIntervalMs},
				'start-probe',
				context,
			)
		: {state, effects: noEffects};
};

function listOtherRoots(state: DeliveryState): readonly Member[] {
	const dataCentres = new Set(state.members.map(({dataCentre}) => dataCentre));
	return [...dataCentres]
		.flatMap((dataCentre) => computeRoots(state.members, dataCentre))
		.filter(({name}) => name !== state.name);
}

function pickPullSource(
	state: DeliveryState,
	context: DeliveryContext,
): Member | undefined {
	const {position, pullFailures} = state;
	if (position?.kind === 'child' && pullFailures === 0) {
		return position.parents[0];
	}

	const sources =
		position?.kind === 'child' ? position.parents : listOtherRoots(state);
	return sources[Math.floor(context.random() * sources.length)];
}

const planPull: DeliveryAction = (state, context) => {
	const isRoot = state.position?.kind === 'root';
	const isWanted =
		state.position !== undefined &&
		(!isRoot || state.sourceFailures > 0 || state.needsSnapshot);
	if (!isWanted || context.now < state.nextPullAt || hasCall(state, 'pull')) {
		return {state, effects: noEffects};
	}

	const member = pickPullSource(state, context);
	return member
		? startPoll(
				state,
				member,
				{
					kind: 'pull',
					waitMs: pollWaitMs,
					isChild: !isRoot,
					needsNewConnection: state.pullFailures > 0,
				},
				context,
			)
		: {state, effects: noEffects};
};

const planRepair: DeliveryAction = (state, context) => {
	const {missingVersion} = state;
	const isDue =
		missingVersion !== undefined &&
		missingVersion.version > findNewestConfiguration(state).version &&
		context.now - missingVersion.since >= context.rules.repairAfterMs &&
		!hasCall(state, 'repair');
	const member =
		isDue && state.members.find(({name}) => name === missingVersion.name);
	return member
		? startPoll(
				state,
				member,
				{kind: 'repair', waitMs: 0, isChild: false, needsNewConnection: true},
				context,
			)
		: {state, effects: noEffects};
};

/**
 * Lists the members to which a node reports its progress outside its long
 * polls: its parent, or the other roots.
 */
function listReportReceivers(state: DeliveryState): readonly Member[] {
	const {position} = state;
	if (position?.kind === 'child') {
		return position.parents.slice(0, 1);
	}

	return computeRoots(state.members, state.dataCentre, state.name).filter(
		({name}) => name !== state.name,
	);
}

function computeReportIntervalMs(failures: number): number {
	return Math.min(statusIntervalMs, reportIntervalMs * 2 ** failures);
}

const planReport: DeliveryAction = (state, context) => {
	const {now} = context;
	const {position, lastReport} = state;
	if (
		!position ||
		now - lastReport.at < computeReportIntervalMs(state.reportFailures)
	) {
		return {state, effects: noEffects};
	}

	const isRepeated =
		position.kind === 'root' && now - lastReport.at >= statusIntervalMs;
	const text = formatReport(state);
	if (text === lastReport.text && !isRepeated) {
		return {state, effects: noEffects};
	}

	const actions = listReportReceivers(state).map(
		(member): DeliveryAction =>
			(before) => {
				const isChild =
					position.kind === 'child' || position.first.name === member.name;
				return startPoll(
					before,
					member,
					{
						kind: 'report',
						waitMs: 0,
						isChild,
						needsNewConnection: state.reportFailures > 0,
					},
					context,
				);
			},
	);
	const step = runDeliveryActions(
		{state, effects: noEffects},
		actions,
		context,
	);
	return {...step, state: {...step.state, lastReport: {text, at: now}}};
};

/** Actions that start every call that a node should have in flight. */
export const planCalls: readonly DeliveryAction[] = [
	planSource,
	planProbe,
	planStartProbe,
	planPull,
	planRepair,
	planReport,
];
