import * as z from 'zod';
import {maxDataCentres, maxRecordsPerBucket} from '../protocol/constants.js';
import {decodeList} from '../protocol/decode-list.js';
import type {Decoded} from '../protocol/decode-value.js';
import {
	dataCentreSchema,
	digestSchema,
	recordVersionSchema,
	type EncodedExchange,
	type Exchange,
} from '../protocol/member.js';
import {decodeCrashDigest} from './_lib/decode-crash-digest.js';
import {decodeDepartureList} from './_lib/decode-departure-list.js';
import {decodeRecords} from './_lib/decode-records.js';
import {decodeSender} from './_lib/decode-sender.js';
import {listEntries} from './_lib/list-entries.js';

const rootSchema = z.tuple([dataCentreSchema, digestSchema]);

/**
 * Decodes a request of another member. An entry of a list that cannot be read is
 * left out, as the sender may run another version or pass on what it does not
 * know.
 *
 * @param encoded - the request as received
 * @returns what can be read of the request
 * @example
 * decodeExchange({kind: 'ping', from, records: [record, 'odd']}).unreadable.length; // 1
 */
export function decodeExchange(encoded: EncodedExchange): Decoded<Exchange> {
	const {value: from, unreadable} = decodeSender(encoded.from);
	switch (encoded.kind) {
		case 'ping': {
			const records = decodeRecords(encoded.records);
			const crashDigest = decodeCrashDigest(encoded.crashDigest);
			return {
				value: {
					kind: 'ping',
					from,
					records: records.value,
					crashDigest: crashDigest.value,
				},
				unreadable: [
					...unreadable,
					...records.unreadable,
					...crashDigest.unreadable,
				],
			};
		}

		case 'relay':
		case 'vouch': {
			return {value: {...encoded, from}, unreadable};
		}

		case 'digests': {
			const roots = decodeList(listEntries(encoded.roots), {
				schema: rootSchema,
				place: 'roots',
				maxLength: maxDataCentres,
			});
			const departures = decodeDepartureList(encoded.departures, 'departures');
			return {
				value: {
					kind: 'digests',
					from,
					roots: Object.fromEntries(roots.value),
					...(departures.value.length > 0 && {departures: departures.value}),
				},
				unreadable: [
					...unreadable,
					...roots.unreadable,
					...departures.unreadable,
				],
			};
		}

		case 'bucket': {
			const versions = decodeList(encoded.versions, {
				schema: recordVersionSchema,
				place: 'versions',
				maxLength: maxRecordsPerBucket,
			});
			return {
				value: {...encoded, from, versions: versions.value},
				unreadable: [...unreadable, ...versions.unreadable],
			};
		}
	}
}
