import * as z from 'zod';
import {
	maxDataCentres,
	maxRecordsPerBucket,
	maxUpstreamsPerHost,
} from '../../protocol/constants.js';
import {decodeList} from '../../protocol/decode-list.js';
import {decodeValue, type Decoded} from '../../protocol/decode-value.js';
import {
	dataCentreSchema,
	recordSchema,
	upstreamSchema,
	type MemberRecord,
} from '../../protocol/member.js';
import {decodeDepartureList} from './decode-departure-list.js';

/** The fields that identify a member and its version; digests of records are computed from some of them. */
const identitySchema = recordSchema.omit({
	upstreams: true,
	unreachable: true,
	capacity: true,
	departures: true,
});
const partsSchema = z.object({
	upstreams: z.unknown().optional(),
	unreachable: z.unknown().optional(),
	capacity: z.unknown().optional(),
	departures: z.unknown().optional(),
});

const absent = {value: undefined, unreadable: []};

/** Decodes what can be read of a record; the rest counts as not stated, so that digests still match. */
function decodeRecord(
	record: unknown,
	place: string,
): Decoded<MemberRecord | undefined> {
	const identity = decodeValue(identitySchema, record, place);
	if (!identity.value) {
		return {value: undefined, unreadable: identity.unreadable};
	}

	const parts = partsSchema.parse(record);
	const upstreams = decodeList(parts.upstreams, {
		schema: upstreamSchema,
		place: `${place}.upstreams`,
		maxLength: maxUpstreamsPerHost,
	});
	const unreachable =
		parts.unreachable === undefined
			? absent
			: decodeList(parts.unreachable, {
					schema: dataCentreSchema,
					place: `${place}.unreachable`,
					maxLength: maxDataCentres,
				});
	const capacity = decodeValue(
		recordSchema.shape.capacity,
		parts.capacity,
		`${place}.capacity`,
	);
	const departures = decodeDepartureList(
		parts.departures,
		`${place}.departures`,
	);
	return {
		value: {
			...identity.value,
			upstreams: [...upstreams.value],
			...(unreachable.value && {unreachable: [...unreachable.value]}),
			...(capacity.value !== undefined && {capacity: capacity.value}),
			...(departures.value.length > 0 && {
				departures: [...departures.value],
			}),
		},
		unreadable: [upstreams, unreachable, capacity, departures].flatMap(
			({unreadable}) => unreadable,
		),
	};
}

/** Decodes the records of members in a message. */
export function decodeRecords(
	records: unknown,
): Decoded<readonly MemberRecord[]> {
	return decodeList(records, {
		schema: recordSchema,
		place: 'records',
		maxLength: maxRecordsPerBucket,
		decodeEntry: decodeRecord,
	});
}
