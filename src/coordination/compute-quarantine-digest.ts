import {createHash} from 'node:crypto';
import type {CrashRecord, QuarantineState} from './quarantine-state.js';

const digestModulus = 2 ** 32;

/** Digests of records, which are never modified. */
const recordDigests = new WeakMap<CrashRecord, number>();

function computeRecordDigest(record: CrashRecord): number {
	const {fingerprint, crashes} = record;
	const versions = [...record.versions]
		.map(([version, status]) => `${status} ${version}`)
		.toSorted();
	const ids = [...crashes]
		.map(([id, {isCleared}]) => `${id} ${isCleared}`)
		.toSorted();
	return createHash('sha256')
		.update(JSON.stringify([fingerprint, ids, versions]))
		.digest()
		.readUInt32BE();
}

/**
 * Computes the digest of all records, by which two nodes find out whether they
 * know the same.
 *
 * @param state - the records
 * @returns a number from 0 up to, but not including, 2 ** 32; 0 without records
 * @example
 * computeQuarantineDigest(new Map()); // 0
 */
export function computeQuarantineDigest(state: QuarantineState): number {
	let sum = 0;
	for (const record of state.values()) {
		const digest = recordDigests.get(record) ?? computeRecordDigest(record);
		recordDigests.set(record, digest);
		sum = (sum + digest) % digestModulus;
	}

	return sum;
}
