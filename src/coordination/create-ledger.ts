import {
	ledgerBucketMs,
	maxKeptBytes,
	maxLedgerRecords,
	stampLifetimeMs,
} from '../protocol/constants.js';
import type {GateStamp} from '../protocol/stamp.js';
import {
	stepLedgerRecord,
	type LedgerMessage,
	type LedgerRecord,
	type LedgerStep,
} from './step-ledger-record.js';

/** Properties of an attempt that the ledger uses. */
export type LedgerAttempt = {
	readonly id: string;
	readonly stamp?: GateStamp | undefined;
	/** Idempotency key of the caller, unique within team and service. */
	readonly key?: string | undefined;
};

/** Options of `createLedger`. */
export type LedgerOptions = {
	/** Random identifier of the gate's process. */
	readonly epoch: string;
	/** Validity of a stamp, ms; `stampLifetimeMs` when absent. */
	readonly lifetimeMs?: number;
	/** Maximum number of records of completed attempts; `maxLedgerRecords` when absent. */
	readonly maxRecords?: number;
	/** Maximum total size of kept answers, bytes; `maxKeptBytes` when absent. */
	readonly maxBytes?: number;
};

/** An answer that is kept so that a caller's node can fetch it again. */
export type KeptAnswer<T> = {readonly value: T; readonly bytes: number};

/** A gate's record of attempts, bounded in count, bytes and age. */
export type Ledger<T> = {
	/** Returns the stamp to issue now. */
	readStamp(now: number): GateStamp;
	/** Records the arrival of an attempt and returns whether it may run. */
	admit(attempt: LedgerAttempt, now: number): LedgerStep['answer'];
	/** Records that an attempt has not run and never will. */
	refuse(attempt: LedgerAttempt, now: number): void;
	/** Records that an attempt has ended; `forget`, meant for repeatable attempts, deletes its record at once. */
	end(
		attempt: LedgerAttempt,
		now: number,
		answer: KeptAnswer<T> | 'forget' | undefined,
	): void;
	/** Returns the state of an attempt, fencing one that has not arrived. */
	ask(attempt: LedgerAttempt, now: number): LedgerStep['answer'];
	/** Finds the attempt that holds an idempotency key and may have run. */
	findKeyHolder(key: string): string | undefined;
	/** Tells whether an attempt is known not to have run. */
	isFenced(id: string): boolean;
	/** Returns the kept answer of an attempt, undefined when there is none. */
	readAnswer(id: string): T | undefined;
	readSize(): {readonly records: number; readonly bytes: number};
};

type Entry = {readonly record: LedgerRecord; readonly key: string | undefined};

/**
 * Creates the ledger of a gate.
 *
 * Records are grouped by time. A group is evicted when its stamps have expired,
 * or earlier when there are too many records. Eviction raises the horizon, and
 * attempts with stamps from before the horizon are refused.
 *
 * @param options - see `LedgerOptions`
 * @returns the ledger; times passed to it are monotonic ms
 * @example
 * createLedger({epoch: 'a'}).admit({id: '1', stamp: undefined}, 0); // 'stale'
 */
export function createLedger<T>(options: LedgerOptions): Ledger<T> {
	const {epoch, lifetimeMs = stampLifetimeMs} = options;
	const {maxRecords = maxLedgerRecords, maxBytes = maxKeptBytes} = options;
	const entries = new Map<string, Entry>();
	const groups = new Map<number, string[]>();
	const answers = new Map<string, KeptAnswer<T>>();
	const holders = new Map<string, string>();
	let horizonMs = Number.NEGATIVE_INFINITY;
	let keptBytes = 0;
	let finishedRecords = 0;

	function isValid(stamp: GateStamp | undefined, now: number): boolean {
		return (
			stamp?.epoch === epoch &&
			stamp.timeMs > horizonMs &&
			stamp.timeMs <= now &&
			now - stamp.timeMs < lifetimeMs
		);
	}

	function dropAnswer(id: string): void {
		keptBytes -= answers.get(id)?.bytes ?? 0;
		answers.delete(id);
	}

	function deleteEntry(id: string): void {
		const key = entries.get(id)?.key;
		if (key !== undefined && holders.get(key) === id) {
			holders.delete(key);
		}

		entries.delete(id);
		dropAnswer(id);
	}

	function evictGroup(group: number): void {
		for (const id of groups.get(group) ?? []) {
			if (entries.get(id)?.record.kind !== 'running') {
				deleteEntry(id);
				finishedRecords--;
			}
		}

		groups.delete(group);
		horizonMs = Math.max(horizonMs, (group + 1) * ledgerBucketMs);
	}

	function evictGroups(now: number): void {
		for (const group of groups.keys()) {
			const isExpired = now - (group + 1) * ledgerBucketMs >= lifetimeMs;
			if (!isExpired && finishedRecords <= maxRecords) {
				break;
			}

			evictGroup(group);
		}
	}

	function putInGroup(id: string, now: number): void {
		// Grouped by the current time, since no stamp of the attempt is newer.
		const group = Math.floor(now / ledgerBucketMs);
		const ids = groups.get(group);
		if (ids) {
			ids.push(id);
		} else {
			groups.set(group, [id]);
		}

		finishedRecords++;
		evictGroups(now);
	}

	function applyMessage(
		attempt: LedgerAttempt,
		message: LedgerMessage,
		now: number,
	): LedgerStep['answer'] {
		const {id, stamp, key} = attempt;
		const before = entries.get(id);
		const isStampValid = before !== undefined || isValid(stamp, now);
		const step = stepLedgerRecord(before?.record, message, isStampValid);
		if (!step.record || step.record === before?.record) {
			return step.answer;
		}

		entries.set(id, {record: step.record, key: before?.key ?? key});
		if (step.record.kind !== 'running' && isUnfinished(before)) {
			putInGroup(id, now);
		}

		return step.answer;
	}

	function isUnfinished(entry: Entry | undefined): boolean {
		return !entry || entry.record.kind === 'running';
	}

	function isFenced(id: string): boolean {
		return entries.get(id)?.record.kind === 'fenced';
	}

	function keepAnswer(id: string, answer: KeptAnswer<T>): void {
		answers.set(id, answer);
		keptBytes += answer.bytes;
		for (const oldest of answers.keys()) {
			if (keptBytes <= maxBytes) {
				break;
			}

			dropAnswer(oldest);
		}
	}

	return {
		readStamp: (now) => ({epoch, timeMs: Math.floor(now)}),
		admit(attempt, now) {
			const answer = applyMessage(attempt, 'admit', now);
			if (answer === 'run' && attempt.key !== undefined) {
				holders.set(attempt.key, attempt.id);
			}

			return answer;
		},
		refuse(attempt, now) {
			applyMessage(attempt, 'refuse', now);
		},
		end(attempt, now, answer) {
			if (answer === 'forget') {
				deleteEntry(attempt.id);
				return;
			}

			applyMessage(attempt, 'end', now);
			if (answer && entries.has(attempt.id)) {
				keepAnswer(attempt.id, answer);
			}
		},
		// An attempt without a stamp and a record was not admitted, or its record was deleted.
		ask: (attempt, now) =>
			attempt.stamp === undefined && !entries.has(attempt.id)
				? 'fenced'
				: applyMessage(attempt, 'ask', now),
		findKeyHolder(key) {
			const id = holders.get(key);
			return id !== undefined && !isFenced(id) ? id : undefined;
		},
		isFenced,
		readAnswer: (id) => answers.get(id)?.value,
		readSize: () => ({records: entries.size, bytes: keptBytes}),
	};
}
