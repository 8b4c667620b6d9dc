import {ledgerRetentionMs} from '../protocol/constants.js';
import type {LedgerRecord} from './step-ledger-record.js';

/**
 * Tells whether a ledger record may be forgotten.
 *
 * @param record - the record
 * @param now - monotonic time in ms
 * @returns true when it is final and its retention time has passed
 * @example
 * isLedgerRecordExpired({kind: 'running'}, 1e9); // false
 */
export function isLedgerRecordExpired(
	record: LedgerRecord,
	now: number,
): boolean {
	return record.kind !== 'running' && now - record.at >= ledgerRetentionMs;
}
