import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {maxDataCentres, maxRecordsPerBucket} from '../protocol/constants.js';
import {decodeList} from '../protocol/decode-list.js';
import {decodeValue, type Decoded} from '../protocol/decode-value.js';
import {
	dataCentreSchema,
	digestSchema,
	encodedExchangeAnswerSchema,
	nameSchema,
	type ExchangeAnswer,
} from '../protocol/member.js';
import {decodeCrashDigest} from './_lib/decode-crash-digest.js';
import {decodeDepartureList} from './_lib/decode-departure-list.js';
import {decodeRecords} from './_lib/decode-records.js';
import {decodeSender} from './_lib/decode-sender.js';
import {listEntries} from './_lib/list-entries.js';
import {bucketsPerDataCentre} from './member-table.js';

type DataCentreDigests = [dataCentre: string, digests: readonly number[]];

/** Stands in for an unreadable digest; it equals none, so that the bucket is compared. */
const unreadableDigest = -1;

const digestsSchema: z.ZodType<DataCentreDigests> = z.tuple([
	dataCentreSchema,
	z.array(digestSchema).max(bucketsPerDataCentre),
]);
const encodedDigestsSchema = z.tuple([dataCentreSchema, z.array(z.unknown())]);

/** Decodes digests of which some cannot be read. */
function decodeDigests(
	entry: unknown,
	place: string,
): Decoded<DataCentreDigests | undefined> {
	const {value, unreadable} = decodeValue(encodedDigestsSchema, entry, place);
	if (!value) {
		return {value: undefined, unreadable};
	}

	const [dataCentre, encoded] = value;
	const digests = encoded
		.slice(0, bucketsPerDataCentre)
		.map((digest) => digestSchema.safeParse(digest).data ?? unreadableDigest);
	return {
		value: [dataCentre, digests],
		unreadable: [{place, reason: 'digests missing or out of range'}],
	};
}

/**
 * Decodes the answer of another member. An entry of a list that cannot be read is
 * left out.
 *
 * @param value - the answer as received
 * @returns what can be read of the answer, or why nothing can
 * @example
 * decodeExchangeAnswer({kind: 'busy', from}).isOk(); // true
 */
export function decodeExchangeAnswer(
	value: unknown,
): Result<Decoded<ExchangeAnswer>, string> {
	const {value: encoded, unreadable: problems} = decodeValue(
		encodedExchangeAnswerSchema,
		value,
		'answer',
	);
	if (!encoded) {
		return err(problems.map(({reason}) => reason).join('; '));
	}

	const {value: from, unreadable} = decodeSender(encoded.from);
	switch (encoded.kind) {
		case 'ack': {
			const records = decodeRecords(encoded.records);
			const needsRecord = decodeValue(
				z.boolean(),
				encoded.needsRecord,
				'needsRecord',
			);
			const crashDigest = decodeCrashDigest(encoded.crashDigest);
			const departures = decodeDepartureList(encoded.departures, 'departures');
			return ok({
				value: {
					kind: 'ack',
					from,
					records: records.value,
					needsRecord: needsRecord.value ?? false,
					crashDigest: crashDigest.value,
					...(departures.value.length > 0 && {departures: departures.value}),
				},
				unreadable: [
					...unreadable,
					...records.unreadable,
					...needsRecord.unreadable,
					...crashDigest.unreadable,
					...departures.unreadable,
				],
			});
		}

		case 'digests': {
			const buckets = decodeList(listEntries(encoded.buckets), {
				schema: digestsSchema,
				place: 'buckets',
				maxLength: maxDataCentres,
				decodeEntry: decodeDigests,
			});
			const departures = decodeDepartureList(encoded.departures, 'departures');
			return ok({
				value: {
					kind: 'digests',
					from,
					buckets: Object.fromEntries(buckets.value),
					...(departures.value.length > 0 && {departures: departures.value}),
				},
				unreadable: [
					...unreadable,
					...buckets.unreadable,
					...departures.unreadable,
				],
			});
		}

		case 'bucket': {
			const records = decodeRecords(encoded.records);
			const wanted = decodeList(encoded.wanted, {
				schema: nameSchema,
				place: 'wanted',
				maxLength: maxRecordsPerBucket,
			});
			return ok({
				value: {
					kind: 'bucket',
					from,
					records: records.value,
					wanted: wanted.value,
				},
				unreadable: [
					...unreadable,
					...records.unreadable,
					...wanted.unreadable,
				],
			});
		}

		case 'busy': {
			return ok({value: {kind: 'busy', from}, unreadable});
		}
	}
}
