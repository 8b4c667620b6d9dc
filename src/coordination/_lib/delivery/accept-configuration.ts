import type {
	Configuration,
	LogEntry,
	Problem,
} from '../../../protocol/configuration.js';
import {
	logEntriesPerPoll,
	maxHeldVersions,
} from '../../../protocol/constants.js';
import type {DeliveryState, DeliveryStep} from '../../delivery-state.js';
import {
	findNewestConfiguration,
	type DeliveryContext,
} from './delivery-context.js';

const refusedSnapshotPauseMs = 5000;
const keptEntries = 4 * logEntriesPerPoll;

function refuseVersion(
	state: DeliveryState,
	version: number,
	problem: Problem,
): DeliveryStep {
	const refusal = {name: state.name, version, problem};
	return {
		state: {...state, refusal, needsSnapshot: true},
		effects: [
			{
				kind: 'log',
				level: 'error',
				message: 'version refused',
				fields: {version, problem},
			},
		],
	};
}

function holdVersion(
	state: DeliveryState,
	configuration: Configuration,
	entries: readonly LogEntry[],
): DeliveryState {
	const isKnown =
		state.missingVersion !== undefined &&
		configuration.version >= state.missingVersion.version;
	return {
		...state,
		heldConfigurations: [...state.heldConfigurations, configuration].slice(
			-maxHeldVersions,
		),
		entries: entries.slice(-keptEntries),
		needsSnapshot: false,
		refusal: undefined,
		missingVersion: isKnown ? undefined : state.missingVersion,
	};
}

/** Outcome of offering entries to a node. */
export type EntriesStep = DeliveryStep & {
	/** Whether an entry did not follow the newest held version. */
	readonly hasGap: boolean;
};

/**
 * Applies entries that follow the newest held version, each whole or not.
 *
 * @param state - the state before
 * @param entries - entries in order of version; known ones are passed over
 * @param context - time and rules
 * @returns the state after, and whether entries are missing
 */
export function acceptEntries(
	state: DeliveryState,
	entries: readonly LogEntry[],
	context: DeliveryContext,
): EntriesStep {
	let next = state;
	for (const entry of entries) {
		const newest = findNewestConfiguration(next);
		if (entry.version <= newest.version) {
			continue;
		}

		if (entry.version > newest.version + 1) {
			return {state: next, effects: [], hasGap: true};
		}

		const applied = context.rules.applyEntry(newest, entry);
		if (applied.isErr()) {
			const isRepeated = state.refusal?.version === entry.version;
			const step = refuseVersion(next, entry.version, applied.error);
			return {...step, effects: isRepeated ? [] : step.effects, hasGap: false};
		}

		next = holdVersion(next, applied.value, [...next.entries, entry]);
	}

	return {state: next, effects: [], hasGap: false};
}

/**
 * Adopts a whole configuration from elsewhere if it is newer and valid.
 *
 * @param state - the state before
 * @param value - the value as received
 * @param context - time and rules
 * @returns the state after; unchanged but for the refusal when not valid
 */
export function acceptSnapshot(
	state: DeliveryState,
	value: unknown,
	context: DeliveryContext,
): DeliveryStep {
	const result = context.rules.validateConfiguration(value);
	if (result.isErr()) {
		const version = readClaimedVersion(value);
		const step = refuseVersion(state, version, result.error);
		const until = context.now + refusedSnapshotPauseMs;
		return {...step, state: {...step.state, refusedSnapshot: {version, until}}};
	}

	return result.value.version > findNewestConfiguration(state).version
		? {state: holdVersion(state, result.value, []), effects: []}
		: {state, effects: []};
}

function readClaimedVersion(value: unknown): number {
	const version =
		typeof value === 'object' && value !== null && 'version' in value
			? Number(value.version)
			: 0;
	return Number.isSafeInteger(version) && version > 0 ? version : 0;
}
