/** What a gate knows of one attempt. */
export type LedgerRecord =
	| {readonly kind: 'running'}
	| {readonly kind: 'answered'; readonly at: number}
	| {readonly kind: 'fenced'; readonly at: number};

/** What happened to an attempt, or that somebody asks about it. */
export type LedgerMessage = 'start' | 'finish' | 'ask';

/** A ledger record after a message, and the answer to the message. */
export type LedgerStep = {
	readonly record: LedgerRecord;
	readonly answer: 'run' | 'refused' | 'done' | LedgerRecord['kind'];
};

/**
 * Advances a gate's record of one attempt by one message.
 *
 * `start` answers `run` once and `refused` ever after. `ask` about an attempt
 * that has not started fences it: a later `start` is refused, so whoever asked
 * may take the attempt as not run.
 *
 * @param record - the record before, undefined when there is none
 * @param message - what happened, or what is asked
 * @param now - monotonic time in ms
 * @returns the record after and the answer
 * @example
 * stepLedgerRecord(undefined, 'start', 0).answer; // 'run'
 */
export function stepLedgerRecord(
	record: LedgerRecord | undefined,
	message: LedgerMessage,
	now: number,
): LedgerStep {
	switch (message) {
		case 'start': {
			return record
				? {record, answer: 'refused'}
				: {record: {kind: 'running'}, answer: 'run'};
		}

		case 'finish': {
			return {record: {kind: 'answered', at: now}, answer: 'done'};
		}

		case 'ask': {
			const known = record ?? {kind: 'fenced', at: now};
			return {record: known, answer: known.kind};
		}
	}
}
