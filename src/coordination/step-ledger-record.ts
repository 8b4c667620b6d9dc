/** What a gate knows of one attempt. */
export type LedgerRecord =
	/** Admitted: queued or sent to the upstream. */
	| {readonly kind: 'running'}
	/** Over, and may have run. */
	| {readonly kind: 'ended'}
	/** Has not run and never will. */
	| {readonly kind: 'fenced'};

/** What happened to an attempt, or that somebody asks about it. */
export type LedgerMessage =
	/** It arrived. */
	| 'admit'
	/** It was refused before it was sent to the upstream. */
	| 'refuse'
	/** It is over, and may have run. */
	| 'end'
	/** Its caller's node asks what became of it. */
	| 'ask';

/** A ledger record after a message, and the answer to the message. */
export type LedgerStep = {
	/** Undefined when nothing is to be kept. */
	readonly record: LedgerRecord | undefined;
	/**
	 * `run` when the attempt may run; `stale` when its stamp is not valid, so
	 * that nothing is known of it and it must not run; else the record's kind.
	 */
	readonly answer: 'run' | 'stale' | LedgerRecord['kind'];
};

/**
 * Advances a gate's record of one attempt by one message.
 *
 * `admit` answers `run` once. `ask` about an attempt that has not arrived
 * fences it: it is refused when it arrives later, so whoever asked may take it
 * as not run. Without a valid stamp the record may have been forgotten, so
 * neither `run` nor `fenced` is answered.
 *
 * @param record - the record before, undefined when there is none
 * @param message - what happened, or what is asked
 * @param isStampValid - whether the gate would still hold a record of the attempt
 * @returns the record after and the answer
 * @example
 * stepLedgerRecord(undefined, 'admit', true).answer; // 'run'
 */
export function stepLedgerRecord(
	record: LedgerRecord | undefined,
	message: LedgerMessage,
	isStampValid: boolean,
): LedgerStep {
	switch (message) {
		case 'admit': {
			if (record) {
				return {record, answer: record.kind};
			}

			return isStampValid
				? {record: {kind: 'running'}, answer: 'run'}
				: {record: undefined, answer: 'stale'};
		}

		case 'refuse': {
			return {record: {kind: 'fenced'}, answer: 'fenced'};
		}

		case 'end': {
			return {record: {kind: 'ended'}, answer: 'ended'};
		}

		case 'ask': {
			if (record) {
				return {record, answer: record.kind};
			}

			return isStampValid
				? {record: {kind: 'fenced'}, answer: 'fenced'}
				: {record: undefined, answer: 'stale'};
		}
	}
}
