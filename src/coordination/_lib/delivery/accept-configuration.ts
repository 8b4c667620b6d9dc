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
const maxKeptEntries = 4 * logEntriesPerPoll;

function recordRefusal(
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
				message: 'configuration version rejected',
				fields: {version, problem},
			},
		],
	};
}

function addHeldConfiguration(
	state: DeliveryState,
	configuration: Configuration,
	entries: readonly LogEntry[],
): DeliveryState {
	const isMissingVersionHeld =
		state.missingVersion !== undefined &&
		configuration.version >= state.missingVersion.version;
	return {
		...state,
		heldConfigurations: [...state.heldConfigurations, configuration].slice(
			-maxHeldVersions,
		),
		entries: entries.slice(-maxKeptEntries),
		needsSnapshot: false,
		refusal: undefined,
		missingVersion: isMissingVersionHeld ? undefined : state.missingVersion,
	};
}

/** Result of applying log entries. */
export type EntriesStep = DeliveryStep & {
	/** Whether an entry did not directly follow the newest held version. */
	readonly hasGap: boolean;
};

/**
 * Applies the entries that follow the newest held version. Each entry is applied
 * completely or not at all.
 *
 * @param state - the state before
 * @param entries - entries in order of version; those already applied are skipped
 * @param context - time and rules
 * @returns the state after, the effects, and whether entries are missing
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
			const step = recordRefusal(next, entry.version, applied.error);
			return {...step, effects: isRepeated ? [] : step.effects, hasGap: false};
		}

		next = addHeldConfiguration(next, applied.value, [...next.entries, entry]);
	}

	return {state: next, effects: [], hasGap: false};
}

/**
 * Applies a full configuration snapshot if it is valid and newer than the held
 * one.
 *
 * @param state - the state before
 * @param value - the value as received
 * @param context - time and rules
 * @returns the state after; an invalid snapshot only records the refusal and the
 *   need for another snapshot
 */
export function acceptSnapshot(
	state: DeliveryState,
	value: unknown,
	context: DeliveryContext,
): DeliveryStep {
	const result = context.rules.validateConfiguration(value);
	if (result.isErr()) {
		const version = readClaimedVersion(value);
		const step = recordRefusal(state, version, result.error);
		const until = context.now + refusedSnapshotPauseMs;
		return {...step, state: {...step.state, refusedSnapshot: {version, until}}};
	}

	return result.value.version > findNewestConfiguration(state).version
		? {state: addHeldConfiguration(state, result.value, []), effects: []}
		: {state, effects: []};
}

function readClaimedVersion(value: unknown): number {
	const version =
		typeof value === 'object' && value !== null && 'version' in value
			? Number(value.version)
			: 0;
	return Number.isSafeInteger(version) && version > 0 ? version : 0;
}
