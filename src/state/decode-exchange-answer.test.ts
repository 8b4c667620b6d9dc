import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {decodeExchangeAnswer} from './decode-exchange-answer.js';
import {encodeMember} from './encode-member.js';
import {bucketsPerDataCentre} from './member-table.js';

const from = {
	name: 'abdali-1',
	dataCentre: 'abdali',
	address: '10.0.0.1:8081',
	incarnation: 5,
	sequence: 2,
	startedMs: 4,
};
const record = encodeMember(createSampleMember(), 0);

function decode(answer: Record<string, unknown>) {
	return decodeExchangeAnswer(answer)._unsafeUnwrap();
}

test('unreadable parts of an acknowledgement cost themselves only', () => {
	const {value, unreadable} = decode({
		kind: 'ack',
		from,
		records: [record, {...record, name: '?'}],
		needsRecord: 'yes',
		crashDigest: -1,
	});
	assert.deepEqual(value, {
		kind: 'ack',
		from,
		records: [record],
		needsRecord: false,
		crashDigest: undefined,
	});
	assert.deepEqual(
		unreadable.map(({place}) => place),
		['records[?]', 'needsRecord', 'crashDigest'],
	);
});

test('a bucket whose digest cannot be read is compared, and the others are not', () => {
	const {value, unreadable} = decode({
		kind: 'digests',
		from,
		buckets: {
			abdali: [1, -7, 3, 1e300, null],
			abdaliNorth: [1],
			marka: [2],
			x: 'text',
		},
	});
	assert.deepEqual(value, {
		kind: 'digests',
		from,
		buckets: {abdali: [1, -1, 3, -1, -1], marka: [2]},
	});
	assert.equal(unreadable.length, 3);
	const long = decode({
		kind: 'digests',
		from,
		buckets: {abdali: Array.from({length: 100_000}, () => 1)},
	});
	assert.equal(
		long.value.kind === 'digests' && long.value.buckets.abdali?.length,
		bucketsPerDataCentre,
	);
});

test('unreadable records and names of a bucket cost themselves only', () => {
	const {value, unreadable} = decode({
		kind: 'bucket',
		from,
		records: [7, record],
		wanted: ['a', 7, 'a'.repeat(100_000), 'b'],
	});
	assert.deepEqual(value, {
		kind: 'bucket',
		from,
		records: [record],
		wanted: ['a', 'b'],
	});
	assert.equal(unreadable.length, 3);
});

test('an answer of another kind or of an unknown sender is not used', () => {
	const answers: unknown[] = [
		undefined,
		null,
		[],
		{kind: 'other', from},
		{kind: 'busy'},
		{kind: 'busy', from: {...from, address: '10.0.0.1:99999'}},
	];
	for (const answer of answers) {
		assert.ok(decodeExchangeAnswer(answer).isErr());
	}
});
