import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {maxDataCentres, maxRecordsPerBucket} from '../protocol/constants.js';
import {encodedExchangeSchema, recordSchema} from '../protocol/member.js';
import {decodeExchange} from './decode-exchange.js';
import {encodeMember} from './encode-member.js';

const from = {
	name: 'abdali-1',
	dataCentre: 'abdali',
	address: '10.0.0.1:8081',
	incarnation: 5,
	sequence: 2,
	startedMs: 4,
};
const record = encodeMember(createSampleMember(), 0);

function decode(exchange: Record<string, unknown>) {
	return decodeExchange(encodedExchangeSchema.parse(exchange));
}

test('an unreadable optional field counts as absent', () => {
	for (const odd of [-1, 1e300, 0.5, '7', null, {}, Infinity]) {
		const {value, unreadable} = decode({
			kind: 'ping',
			from: {...from, startedMs: odd},
			records: [record],
			crashDigest: odd,
		});
		assert.deepEqual(value, {
			kind: 'ping',
			from: {...from, startedMs: from.incarnation},
			records: [record],
			crashDigest: undefined,
		});
		assert.deepEqual(
			unreadable.map(({place}) => place),
			['from.startedMs', 'crashDigest'],
		);
	}
});

test('unreadable digests and versions cost themselves only', () => {
	const digests = decode({
		kind: 'digests',
		from,
		roots: {
			abdali: 1,
			marka: -1,
			constructor: 'f',
			abdaliNorth: 2,
			sweifieh: 3,
		},
	});
	assert.deepEqual(digests.value, {
		kind: 'digests',
		from,
		roots: {abdali: 1, sweifieh: 3},
	});
	assert.equal(digests.unreadable.length, 3);
	const bucket = decode({
		kind: 'bucket',
		from,
		dataCentre: 'abdali',
		bucket: 1,
		versions: [
			['a', 1, 2, 'alive'],
			['b', 1, 2, 'paused'],
			['c', 1e300, 2, 'alive'],
			['d', 1, 2, 'dead'],
		],
	});
	assert.deepEqual(bucket.value, {
		kind: 'bucket',
		from,
		dataCentre: 'abdali',
		bucket: 1,
		versions: [
			['a', 1, 2, 'alive'],
			['d', 1, 2, 'dead'],
		],
	});
	assert.deepEqual(
		bucket.unreadable.map(({place}) => place),
		['versions[b]', 'versions[c]'],
	);
});

test('lists that are missing or too long do not cost the message', () => {
	const missing = decode({kind: 'ping', from});
	assert.deepEqual(missing.value, {
		kind: 'ping',
		from,
		records: [],
		crashDigest: undefined,
	});
	const long = decode({
		kind: 'ping',
		from,
		records: Array.from({length: 100_000}, () => record),
	});
	assert.ok(long.value.kind === 'ping');
	assert.equal(long.value.records.length, maxRecordsPerBucket);
	const roots = Object.fromEntries(
		Array.from({length: 1000}, (_, index) => [`dc-${index}`, index]),
	);
	const wide = decode({kind: 'digests', from, roots});
	assert.ok(wide.value.kind === 'digests');
	assert.equal(Object.keys(wide.value.roots).length, maxDataCentres);
});

test('a sender is told apart only by its whole identity', () => {
	for (const field of ['name', 'dataCentre', 'address', 'incarnation']) {
		const exchange = {kind: 'vouch', name: 'a', from: {...from, [field]: '?'}};
		assert.equal(encodedExchangeSchema.safeParse(exchange).success, false);
	}
});

test('decoded records have the schema of records, whatever was sent', () => {
	const oddArbitrary = fc.oneof(
		fc.anything(),
		fc.record(
			{
				name: fc.oneof(fc.constantFrom('a', '', 'a'.repeat(99)), fc.anything()),
				dataCentre: fc.constantFrom('abdali', 'abdaliNorth', ''),
				address: fc.constantFrom('10.0.0.1:80', '10.0.0.1:0', '999.0.0.1:80'),
				incarnation: fc.oneof(fc.integer(), fc.double()),
				sequence: fc.nat(),
				state: fc.constantFrom('alive', 'dead', 'paused'),
				upstreams: fc.oneof(
					fc.anything(),
					fc.array(
						fc.record({
							id: fc.string(),
							service: fc.string(),
							slots: fc.oneof(fc.nat(2000), fc.double()),
							state: fc.constantFrom('ready', 'paused'),
							ageMs: fc.oneof(fc.integer(), fc.double()),
						}),
						{maxLength: 20},
					),
				),
				unreachable: fc.anything(),
				capacity: fc.anything(),
			},
			{requiredKeys: []},
		),
	);
	fc.assert(
		fc.property(fc.array(oddArbitrary, {maxLength: 6}), (records) => {
			const {value} = decode({
				kind: 'ping',
				from,
				records: [...records, record],
			});
			assert.ok(value.kind === 'ping');
			assert.deepEqual(value.records.at(-1), record);
			for (const decoded of value.records) {
				assert.deepEqual(recordSchema.parse(decoded), decoded);
			}
		}),
		{seed: 40, numRuns: 500},
	);
});
