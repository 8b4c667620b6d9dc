import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {encodeCrashRecord} from '../coordination/encode-crash-record.js';
import {
	maxCrashAgeMs,
	maxCrashRecordsPerMessage,
} from '../protocol/constants.js';
import {
	encodedCrashRecordSchema,
	type EncodedCrashRecord,
} from '../protocol/crash-record.js';
import {decodeCrashRecords} from './decode-crash-records.js';

const crash = {id: 'a', ageMs: 10, isCleared: false, version: 'v1'};
const sound: EncodedCrashRecord = {
	fingerprint: 'f',
	service: 'registry',
	crashes: [crash],
};

test('a record without readable identity costs itself only', () => {
	const odd: unknown[] = [
		7,
		null,
		[],
		{},
		{...sound, fingerprint: 'a'.repeat(100_000)},
		{...sound, service: 7},
	];
	for (const record of odd) {
		const {value, unreadable} = decodeCrashRecords([sound, record, sound]);
		assert.deepEqual(value, [sound, sound]);
		assert.equal(unreadable.length, 1);
	}
});

test('an unreadable crash or version costs itself only', () => {
	const odd: unknown[] = [
		7,
		{...crash, ageMs: -1},
		{...crash, ageMs: 1e300},
		{...crash, ageMs: Infinity},
		{...crash, ageMs: 0.5},
		{...crash, isCleared: 'no'},
		{...crash, id: 'a'.repeat(100_000)},
	];
	for (const other of odd) {
		const {value, unreadable} = decodeCrashRecords([
			{
				...sound,
				crashes: [other, crash],
				versions: [
					{version: 'v2', status: 'tried'},
					{version: '', status: 'answered'},
					{version: 'v3', status: 'answered'},
				],
			},
		]);
		assert.deepEqual(value, [
			{...sound, versions: [{version: 'v3', status: 'answered'}]},
		]);
		assert.equal(unreadable.length, 3);
	}
});

test('a crash whose software version cannot be read still counts', () => {
	const {version, ...rest} = crash;
	for (const odd of ['', 7, `${version}${'1'.repeat(100)}`]) {
		const {value, unreadable} = decodeCrashRecords([
			{...sound, crashes: [{...crash, version: odd}]},
		]);
		assert.deepEqual(value, [{...sound, crashes: [rest], versions: []}]);
		assert.equal(unreadable.length, 1);
	}
});

test('an age is bounded, and what exceeds a limit of a list is not read', () => {
	const old = {...crash, ageMs: Number.MAX_SAFE_INTEGER};
	const {value} = decodeCrashRecords([{...sound, crashes: [old]}]);
	assert.equal(value[0]!.crashes[0]!.ageMs, maxCrashAgeMs);
	const many = decodeCrashRecords(Array.from({length: 100_000}, () => sound));
	assert.equal(many.value.length, maxCrashRecordsPerMessage);
	const crashes = Array.from({length: 100_000}, () => crash);
	const long = decodeCrashRecords([{...sound, crashes}]);
	assert.equal(long.value[0]!.crashes.length, 8);
	assert.equal(long.unreadable.length, 1);
});

test('decoded records have the schema of records, whatever was sent', () => {
	const recordArbitrary = fc.record({
		fingerprint: fc.string(),
		service: fc.oneof(fc.string(), fc.anything()),
		crashes: fc.oneof(
			fc.anything(),
			fc.array(
				fc.record({
					id: fc.string(),
					ageMs: fc.oneof(fc.double(), fc.integer()),
					isCleared: fc.oneof(fc.boolean(), fc.anything()),
				}),
			),
		),
		versions: fc.anything(),
	});
	fc.assert(
		fc.property(
			fc.array(fc.oneof(recordArbitrary, fc.anything()), {maxLength: 6}),
			(records) => {
				const {value} = decodeCrashRecords([...records, sound]);
				assert.deepEqual(value.at(-1), sound);
				for (const decoded of value) {
					assert.deepEqual(encodedCrashRecordSchema.parse(decoded), decoded);
				}
			},
		),
		{seed: 40, numRuns: 500},
	);
});

test('a record is still readable when its first crash is older than a day', () => {
	const dayMs = 86_400_000;
	const record = {
		fingerprint: 'f',
		service: 'registry',
		crashes: new Map([
			['a', {at: 0, isCleared: false, version: undefined}],
			['b', {at: dayMs, isCleared: false, version: undefined}],
		]),
		versions: new Map(),
		jitter: 0,
	};
	const sent = encodeCrashRecord(record, dayMs + 5);
	const {value, unreadable} = decodeCrashRecords([sent]);
	assert.deepEqual(
		value[0]!.crashes.map(({ageMs}) => ageMs),
		[maxCrashAgeMs, 5],
	);
	assert.deepEqual(unreadable, []);
	assert.ok(sent.crashes.every(({ageMs}) => ageMs <= maxCrashAgeMs));
});
