import * as z from 'zod';
import {
	maxCrashesPerRecord,
	maxCrashRecordsPerMessage,
	maxVersionsPerRecord,
} from '../protocol/constants.js';
import {
	encodedCrashRecordSchema,
	encodedCrashSchema,
	encodedVersionSchema,
	type EncodedCrashRecord,
} from '../protocol/crash-record.js';
import {decodeList} from '../protocol/decode-list.js';
import {decodeValue, type Decoded} from '../protocol/decode-value.js';

type EncodedCrash = EncodedCrashRecord['crashes'][number];

const identitySchema = encodedCrashRecordSchema.pick({
	fingerprint: true,
	service: true,
});
const partsSchema = z.object({
	crashes: z.unknown().optional(),
	versions: z.unknown().optional(),
});
const crashWithoutVersionSchema = encodedCrashSchema.omit({version: true});

/** Decodes a crash whose software version cannot be read, which counts as not known. */
function decodeCrash(
	crash: unknown,
	place: string,
): Decoded<EncodedCrash | undefined> {
	const {value, unreadable} = decodeValue(
		crashWithoutVersionSchema,
		crash,
		place,
	);
	return {
		value,
		unreadable: value ? [{place, reason: 'version not readable'}] : unreadable,
	};
}

/** Decodes what can be read of a record. */
function decodeRecord(
	record: unknown,
	place: string,
): Decoded<EncodedCrashRecord | undefined> {
	const identity = decodeValue(identitySchema, record, place);
	if (!identity.value) {
		return {value: undefined, unreadable: identity.unreadable};
	}

	const parts = partsSchema.parse(record);
	const crashes = decodeList(parts.crashes, {
		schema: encodedCrashSchema,
		place: `${place}.crashes`,
		maxLength: maxCrashesPerRecord,
		decodeEntry: decodeCrash,
	});
	const versions = decodeList(parts.versions ?? [], {
		schema: encodedVersionSchema,
		place: `${place}.versions`,
		maxLength: maxVersionsPerRecord,
	});
	return {
		value: {
			...identity.value,
			crashes: [...crashes.value],
			versions: [...versions.value],
		},
		unreadable: [...crashes.unreadable, ...versions.unreadable],
	};
}

/**
 * Decodes the crash records of another node. What cannot be read of a record is
 * left out, as the sender may run another version.
 *
 * @param records - the records as received
 * @returns the records that can be read, and what cannot
 * @example
 * decodeCrashRecords([{fingerprint: 'f', service: 's', crashes: []}, 7]).value.length; // 1
 */
export function decodeCrashRecords(
	records: unknown,
): Decoded<readonly EncodedCrashRecord[]> {
	return decodeList(records, {
		schema: encodedCrashRecordSchema,
		place: 'crashes',
		maxLength: maxCrashRecordsPerMessage,
		decodeEntry: decodeRecord,
	});
}
