/** A gate's record of one attempt. */
export type LedgerRecord =
	/** Admitted: queued or sent to the upstream. */
	| {readonly kind: 'running'}
	/** Ended, and may have run. */
	| {readonly kind: 'ended'}
	/** Has not run and never will. */
	| {readonly kind: 'fenced'};

/** Event of an attempt, or a question about its state. */
export type LedgerMessage =
	/** It arrived. */
	| 'admit'
	/** It was refused before it was sent to the upstream. */
	| 'refuse'
	/** It has ended, and may have run. */
	| 'end'
	/** Its caller's node asks for its state. */
	| 'ask';

/** A ledger record after a message, and the answer to the message. */
export type LedgerStep = {
	/** Undefined when no record is to be kept. */
	readonly record: LedgerRecord | undefined;
	/**
	 * `run` when the attempt may run; `stale` when its stamp is not valid, so that
	 * its state is unknown and it must not run; otherwise the record's kind.
	 */
	readonly answer: 'run' | 'stale' | LedgerRecord['kind'];
};

/**
 * Advances a gate's record of one attempt by one message.
 *
 * `admit` returns `run` once. `ask` about an attempt that has not arrived fences
 * it: the attempt is refused if it arrives later, so that the asking node can
 * treat it as not run. Without a valid stamp the record may have been deleted, so
 * neither `run` nor `fenced` is returned.
 *
 * @param record - the record before, undefined when there is none
 * @param message - the event or question
 * @param isStampValid - whether the gate would still have a record of the attempt
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
