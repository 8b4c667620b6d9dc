import {
	logEntrySchema,
	snapshotHeadSchema,
	type LogEntry,
} from '../../../protocol/configuration.js';
import type {
	PlatformObject,
	PlatformOutcome,
} from '../../../protocol/platform.js';
import {decodeSnapshot} from '../../../state/decode-snapshot.js';
import {computeBackoff} from '../../compute-backoff.js';
import type {
	Call,
	DeliveryState,
	DeliveryStep,
	SourceMode,
} from '../../delivery-state.js';
import {classifySlot} from '../commit/classify-slot.js';
import {acceptEntries, acceptSnapshot} from './accept-configuration.js';
import {
	findNewestConfiguration,
	type DeliveryContext,
} from './delivery-context.js';
import {handleStatusAnswer} from './report-status.js';

const afresh: SourceMode = {kind: 'catch-up', revision: undefined};

function failSource(
	state: DeliveryState,
	source: SourceMode,
	context: DeliveryContext,
): DeliveryStep {
	const sourceFailures = state.sourceFailures + 1;
	const delay = computeBackoff(sourceFailures, context.random());
	return {
		state: {
			...state,
			source,
			sourceFailures,
			nextSourceCallAt: context.now + delay,
		},
		effects: [],
	};
}

function enterSource(state: DeliveryState, source: SourceMode): DeliveryState {
	return {...state, source, sourceFailures: 0};
}

function handleHead(
	state: DeliveryState,
	outcome: PlatformOutcome,
	context: DeliveryContext,
): DeliveryStep {
	if (outcome.kind !== 'found') {
		return outcome.kind === 'absent'
			? {state: enterSource(state, afresh), effects: []}
			: failSource(state, {kind: 'head'}, context);
	}

	const head = snapshotHeadSchema.safeParse(outcome.object.value).data;
	const isNewer = head && head.version > findNewestConfiguration(state).version;
	const source: SourceMode = isNewer
		? {kind: 'chunk', head, texts: []}
		: afresh;
	return {state: enterSource(state, source), effects: []};
}

function readText(outcome: PlatformOutcome): string | undefined {
	const value = outcome.kind === 'found' ? outcome.object.value : undefined;
	return typeof value === 'object' &&
		value !== null &&
		'text' in value &&
		typeof value.text === 'string'
		? value.text
		: undefined;
}

function handleChunk(
	state: DeliveryState,
	mode: Extract<SourceMode, {kind: 'chunk'}>,
	outcome: PlatformOutcome,
	context: DeliveryContext,
): DeliveryStep {
	const text = readText(outcome);
	if (text === undefined) {
		return failSource(state, {kind: 'head'}, context);
	}

	const {head} = mode;
	const texts = [...mode.texts, text];
	if (texts.length < head.chunks.length) {
		const source: SourceMode = {kind: 'chunk', head, texts};
		return {state: enterSource(state, source), effects: []};
	}

	const decoded = decodeSnapshot(head, texts);
	if (decoded.isErr()) {
		const step = failSource(state, afresh, context);
		const {error: problem} = decoded;
		const refusal = {name: state.name, version: head.version, problem};
		return {...step, state: {...step.state, refusal}};
	}

	const step = acceptSnapshot(state, decoded.value, context);
	return {state: enterSource(step.state, afresh), effects: step.effects};
}

function parseEntries(items: readonly PlatformObject[]): readonly LogEntry[] {
	return items.flatMap(({value}) => {
		const parsed = logEntrySchema.safeParse(value);
		return parsed.success ? [parsed.data] : [];
	});
}

function handleCatchUp(
	state: DeliveryState,
	mode: Extract<SourceMode, {kind: 'catch-up'}>,
	outcome: PlatformOutcome,
	context: DeliveryContext,
): DeliveryStep {
	if (outcome.kind !== 'items') {
		return failSource(state, afresh, context);
	}

	const before = findNewestConfiguration(state).version;
	const step = acceptEntries(state, parseEntries(outcome.items), context);
	const newest = findNewestConfiguration(step.state).version;
	if (step.hasGap) {
		const failed = failSource(step.state, {kind: 'head'}, context);
		return {...failed, effects: step.effects};
	}

	const revision = mode.revision ?? outcome.revision;
	const isWhole = newest === before + outcome.items.length;
	const hasWrapped = (newest + 1) % context.rules.ringSize === 0;
	const mayBeMore =
		isWhole && outcome.items.length > 0 && (outcome.more || hasWrapped);
	return mayBeMore
		? {
				state: enterSource(step.state, {kind: 'catch-up', revision}),
				effects: step.effects,
			}
		: {
				state: {
					...enterSource(step.state, {kind: 'watch', revision}),
					isSettled: true,
				},
				effects: step.effects,
			};
}

function handleWatch(
	state: DeliveryState,
	outcome: PlatformOutcome,
	context: DeliveryContext,
): DeliveryStep {
	if (outcome.kind !== 'items') {
		return failSource(state, afresh, context);
	}

	const step = acceptEntries(state, parseEntries(outcome.items), context);
	const source: SourceMode = step.hasGap
		? afresh
		: {kind: 'watch', revision: outcome.revision};
	return {state: enterSource(step.state, source), effects: step.effects};
}

function handleSource(
	state: DeliveryState,
	mode: SourceMode,
	outcome: PlatformOutcome,
	context: DeliveryContext,
): DeliveryStep {
	switch (mode.kind) {
		case 'head': {
			return handleHead(state, outcome, context);
		}

		case 'chunk': {
			return handleChunk(state, mode, outcome, context);
		}

		case 'catch-up': {
			return handleCatchUp(state, mode, outcome, context);
		}

		case 'watch': {
			return handleWatch(state, outcome, context);
		}
	}
}

function dropSourceCalls(state: DeliveryState): DeliveryState {
	const calls = [...state.calls].filter(
		([, {purpose}]) => purpose.kind !== 'source',
	);
	return {...state, calls: new Map(calls)};
}

function handleProbe(
	state: DeliveryState,
	outcome: PlatformOutcome,
	context: DeliveryContext,
): DeliveryStep {
	const expected = findNewestConfiguration(state).version + 1;
	const slot = classifySlot(expected, outcome, context.rules.ringSize);
	switch (slot.kind) {
		case 'entry': {
			const step = acceptEntries(state, [slot.entry], context);
			const source = step.state.refusal ? state.source : afresh;
			return {
				state: {...dropSourceCalls(step.state), source},
				effects: step.effects,
			};
		}

		case 'overwritten': {
			return {
				state: {...dropSourceCalls(state), source: {kind: 'head'}},
				effects: [],
			};
		}

		case 'head':
		case 'unreadable':
		case 'unavailable': {
			return {state, effects: []};
		}
	}
}

function handleStartProbe(
	state: DeliveryState,
	outcome: PlatformOutcome,
	context: DeliveryContext,
): DeliveryStep {
	const expected = findNewestConfiguration(state).version + 1;
	const slot = classifySlot(expected, outcome, context.rules.ringSize);
	const isSettled = state.isSettled || slot.kind === 'head';
	return {state: {...state, isSettled}, effects: []};
}

/**
 * Handles the end of a call to the platform.
 *
 * @param state - the state, from which the call has been taken
 * @param call - the call
 * @param outcome - its outcome; `unavailable` when its time has passed
 * @param context - time and rules
 * @returns the state after
 */
export function handlePlatformAnswer(
	state: DeliveryState,
	call: Call,
	outcome: PlatformOutcome,
	context: DeliveryContext,
): DeliveryStep {
	const {purpose} = call;
	switch (purpose.kind) {
		case 'source': {
			return handleSource(state, purpose.mode, outcome, context);
		}

		case 'probe': {
			return handleProbe(state, outcome, context);
		}

		case 'start-probe': {
			return handleStartProbe(state, outcome, context);
		}

		case 'status-read':
		case 'status-write': {
			return handleStatusAnswer(state, purpose, outcome);
		}

		case 'pull':
		case 'repair':
		case 'report': {
			return {state, effects: []};
		}
	}
}
