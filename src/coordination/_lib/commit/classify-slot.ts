import {
	type LogEntry,
	logEntrySchema,
} from '../../../protocol/configuration.js';
import type {
	PlatformOutcome,
	WriteCondition,
} from '../../../protocol/platform.js';

/** What a log slot holds with regard to the version that is expected. */
export type Slot =
	| {readonly kind: 'entry'; readonly entry: LogEntry}
	/** The version is not written yet; it may be, under the condition. */
	| {readonly kind: 'head'; readonly condition: WriteCondition}
	/** The log has gone past the version by a whole ring. */
	| {readonly kind: 'overwritten'}
	| {readonly kind: 'unreadable'}
	| {readonly kind: 'unavailable'};

/**
 * Classifies the outcome of reading the slot of an expected version.
 *
 * @param expected - the version whose slot was read
 * @param outcome - outcome of the read
 * @param ringSize - number of slots
 * @returns what the slot holds
 */
export function classifySlot(
	expected: number,
	outcome: PlatformOutcome,
	ringSize: number,
): Slot {
	if (outcome.kind === 'absent') {
		return expected <= ringSize
			? {kind: 'head', condition: {kind: 'absent'}}
			: {kind: 'unreadable'};
	}

	if (outcome.kind !== 'found') {
		return {kind: 'unavailable'};
	}

	const {value, version} = outcome.object;
	const parsed = logEntrySchema.safeParse(value);
	if (!parsed.success) {
		return {kind: 'unreadable'};
	}

	const entry = parsed.data;
	if (entry.version === expected) {
		return {kind: 'entry', entry};
	}

	if (entry.version === expected - ringSize) {
		return {kind: 'head', condition: {kind: 'version', version}};
	}

	return {kind: entry.version > expected ? 'overwritten' : 'unreadable'};
}
