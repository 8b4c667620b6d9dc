import {
	snapshotHeadSchema,
	type Configuration,
	type SnapshotHead,
} from '../protocol/configuration.js';
import type {
	PlatformCall,
	PlatformObject,
	PlatformOutcome,
	WriteCondition,
} from '../protocol/platform.js';
import {encodeSnapshot, type SnapshotChunk} from '../state/encode-snapshot.js';
import {
	formatSnapshotKey,
	snapshotHeadKey,
	snapshotPrefix,
} from '../state/format-snapshot-key.js';
import type {
	SnapshotJob,
	SnapshotMessage,
	SnapshotPhase,
	SnapshotState,
	SnapshotStep,
} from './snapshot-state.js';

const deletionsPerList = 4;

function call(
	state: SnapshotState,
	phase: SnapshotPhase,
	platformCall: PlatformCall,
): SnapshotStep {
	const callId = state.callId + 1;
	return {
		state: {phase, callId},
		effects: [{kind: 'call', callId, call: platformCall}],
	};
}

function becomeIdle(state: SnapshotState): SnapshotStep {
	return {state: {...state, phase: {kind: 'idle'}}, effects: []};
}

function writeChunk(
	state: SnapshotState,
	job: SnapshotJob,
	index: number,
): SnapshotStep {
	const chunk = job.chunks[index];
	if (!chunk) {
		return writeHead(state, job);
	}

	return call(
		state,
		{kind: 'writing', job, index},
		{
			kind: 'write',
			key: formatSnapshotKey(job.version, index),
			value: chunk,
			condition: {kind: 'absent'},
		},
	);
}

function verifyChunk(
	state: SnapshotState,
	job: SnapshotJob,
	index: number,
): SnapshotStep {
	const key = formatSnapshotKey(job.version, index);
	return call(
		state,
		{kind: 'verifying-chunk', job, index},
		{kind: 'read', key},
	);
}

function writeHead(state: SnapshotState, job: SnapshotJob): SnapshotStep {
	const {version, digest, previous, condition} = job;
	const head: SnapshotHead = {
		version,
		digest,
		previous,
		chunks: job.chunks.map((chunk) => chunk.digest),
	};
	return call(
		state,
		{kind: 'updating-head', job},
		{kind: 'write', key: snapshotHeadKey, value: head, condition},
	);
}

function startJob(
	state: SnapshotState,
	configuration: Configuration,
	outcome: PlatformOutcome,
): SnapshotStep {
	if (outcome.kind !== 'found' && outcome.kind !== 'absent') {
		return becomeIdle(state);
	}

	const head =
		outcome.kind === 'found'
			? snapshotHeadSchema.safeParse(outcome.object.value).data
			: undefined;
	const {version, digest} = configuration;
	if (head && head.version >= version) {
		return {
			state: {...state, phase: {kind: 'idle'}},
			effects: [{kind: 'stored', version: head.version}],
		};
	}

	const condition: WriteCondition =
		outcome.kind === 'found'
			? {kind: 'version', version: outcome.object.version}
			: {kind: 'absent'};
	const chunks = encodeSnapshot(configuration);
	const previous = head?.version ?? 0;
	return writeChunk(state, {version, digest, chunks, previous, condition}, 0);
}

function listChunks(
	state: SnapshotState,
	oldestKeptVersion: number,
): SnapshotStep {
	return call(
		state,
		{kind: 'listing', oldestKeptVersion},
		{kind: 'list', prefix: snapshotPrefix, after: '', limit: deletionsPerList},
	);
}

function finishJob(state: SnapshotState, job: SnapshotJob): SnapshotStep {
	const step = listChunks(state, job.previous);
	return {
		state: step.state,
		effects: [{kind: 'stored', version: job.version}, ...step.effects],
	};
}

function deleteNext(
	state: SnapshotState,
	oldestKeptVersion: number,
	rest: readonly PlatformObject[],
): SnapshotStep {
	const [object, ...others] = rest;
	return object
		? call(
				state,
				{kind: 'deleting', oldestKeptVersion, remaining: others},
				{kind: 'delete', key: object.key, version: object.version},
			)
		: listChunks(state, oldestKeptVersion);
}

function handleList(
	state: SnapshotState,
	keepFrom: number,
	outcome: PlatformOutcome,
): SnapshotStep {
	const items = outcome.kind === 'items' ? outcome.items : [];
	const oldest = formatSnapshotKey(keepFrom, 0);
	const obsolete = items.filter(({key}) => key < oldest);
	return obsolete.length > 0
		? deleteNext(state, keepFrom, obsolete)
		: becomeIdle(state);
}

function isSameChunk(outcome: PlatformOutcome, chunk: SnapshotChunk): boolean {
	return (
		outcome.kind === 'found' &&
		JSON.stringify(outcome.object.value) === JSON.stringify(chunk)
	);
}

function hasHeadReached(outcome: PlatformOutcome, job: SnapshotJob): boolean {
	if (outcome.kind !== 'found') {
		return false;
	}

	const head = snapshotHeadSchema.safeParse(outcome.object.value).data;
	return head !== undefined && head.version >= job.version;
}

function handleAnswer(
	state: SnapshotState,
	outcome: PlatformOutcome,
): SnapshotStep {
	const {phase} = state;
	switch (phase.kind) {
		case 'idle': {
			return {state, effects: []};
		}

		case 'reading-head': {
			return startJob(state, phase.configuration, outcome);
		}

		case 'writing': {
			const {job, index} = phase;
			if (outcome.kind === 'written') {
				return writeChunk(state, job, index + 1);
			}

			return outcome.kind === 'unavailable'
				? becomeIdle(state)
				: verifyChunk(state, job, index);
		}

		case 'verifying-chunk': {
			const {job, index} = phase;
			return isSameChunk(outcome, job.chunks[index]!)
				? writeChunk(state, job, index + 1)
				: becomeIdle(state);
		}

		case 'updating-head': {
			if (outcome.kind === 'written') {
				return finishJob(state, phase.job);
			}

			return outcome.kind === 'unknown'
				? call(
						state,
						{kind: 'verifying-head', job: phase.job},
						{kind: 'read', key: snapshotHeadKey},
					)
				: becomeIdle(state);
		}

		case 'verifying-head': {
			return hasHeadReached(outcome, phase.job)
				? finishJob(state, phase.job)
				: becomeIdle(state);
		}

		case 'listing': {
			return handleList(state, phase.oldestKeptVersion, outcome);
		}

		case 'deleting': {
			return outcome.kind === 'written' || outcome.kind === 'conflict'
				? deleteNext(state, phase.oldestKeptVersion, phase.remaining)
				: becomeIdle(state);
		}
	}
}

/**
 * Advances the snapshot writer by one message.
 *
 * Chunks are created once under the version's own keys and never overwritten;
 * the head moves by a conditional write only after every chunk was seen. A
 * paused writer that wakes fails on the head. Clearing removes only versions
 * older than the snapshot before the newest, so a reader that has just read
 * the head finds its chunks. Any failure leaves the head as it was.
 *
 * @param state - the state before; left as it is
 * @param message - the message to handle
 * @returns the state after and the effects to carry out
 * @example
 * stepSnapshot(createSnapshotState(), {kind: 'store', configuration});
 */
export function stepSnapshot(
	state: SnapshotState,
	message: SnapshotMessage,
): SnapshotStep {
	if (message.kind === 'answer') {
		return message.callId === state.callId
			? handleAnswer(state, message.outcome)
			: {state, effects: []};
	}

	const {configuration} = message;
	return state.phase.kind === 'idle'
		? call(
				state,
				{kind: 'reading-head', configuration},
				{kind: 'read', key: snapshotHeadKey},
			)
		: {state, effects: []};
}
