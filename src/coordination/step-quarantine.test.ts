import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {maxCrashRecords, maxCrashesPerRecord} from '../protocol/constants.js';
import {computeQuarantineDigest} from './compute-quarantine-digest.js';
import {decideSuspicion} from './decide-suspicion.js';
import {encodeCrashRecord} from './encode-crash-record.js';
import type {QuarantineMessage, QuarantineState} from './quarantine-state.js';
import {stepQuarantine} from './step-quarantine.js';

const random = () => 0.5;
const dead = {fingerprint: 'dead', service: 'registry'};
const lamb = {fingerprint: 'lamb', service: 'registry'};

/** Applies messages at given times, ms. */
function run(
	messages: ReadonlyArray<readonly [at: number, message: QuarantineMessage]>,
	initial: QuarantineState = new Map(),
): QuarantineState {
	let state = initial;
	for (const [at, message] of messages) {
		({state} = stepQuarantine(state, message, at, random));
	}

	return state;
}

function read(
	state: QuarantineState,
	fingerprint: string,
	now: number,
	version?: string,
) {
	return decideSuspicion(state.get(fingerprint), now, version).kind;
}

function encodeAll(state: QuarantineState, now: number) {
	return [...state.values()].map((record) => encodeCrashRecord(record, now));
}

test('what ran under a crash is suspect, and what ran under two is quarantined', () => {
	const once = run([[0, {kind: 'crashed', id: 'a', running: [dead, lamb]}]]);
	assert.equal(read(once, 'dead', 0), 'suspect');
	assert.equal(read(once, 'lamb', 0), 'suspect');
	assert.equal(read(once, 'beef', 0), 'none');
	const twice = run([[50, {kind: 'crashed', id: 'b', running: [dead]}]], once);
	assert.equal(read(twice, 'dead', 50), 'quarantined');
	assert.equal(read(twice, 'lamb', 50), 'suspect');
});

test('one crash that is reported twice counts once', () => {
	const message = {kind: 'crashed', id: 'a', running: [dead, dead]} as const;
	const state = run([
		[0, message],
		[10, message],
	]);
	assert.equal(read(state, 'dead', 10), 'suspect');
});

test('a request that is answered after crashes is no longer suspect', () => {
	const state = run([
		[0, {kind: 'crashed', id: 'a', running: [lamb]}],
		[10, {kind: 'completed', fingerprint: 'lamb'}],
	]);
	assert.equal(read(state, 'lamb', 10), 'none');
	const later = run([[20, {kind: 'crashed', id: 'b', running: [lamb]}]], state);
	assert.equal(read(later, 'lamb', 20), 'suspect');
});

test('a crash that is heard of again after it was cleared stays cleared', () => {
	const crashed = run([[0, {kind: 'crashed', id: 'a', running: [lamb]}]]);
	const cleared = run(
		[[10, {kind: 'completed', fingerprint: 'lamb'}]],
		crashed,
	);
	const state = run(
		[[20, {kind: 'received', records: encodeAll(crashed, 20)}]],
		cleared,
	);
	assert.equal(read(state, 'lamb', 20), 'none');
});

test('a quarantine ends after half a minute, and after another crash only after minutes', () => {
	const state = run([
		[0, {kind: 'crashed', id: 'a', running: [dead]}],
		[0, {kind: 'crashed', id: 'b', running: [dead]}],
	]);
	assert.equal(read(state, 'dead', 44_999), 'quarantined');
	assert.equal(read(state, 'dead', 45_000), 'suspect');
	const again = run(
		[[45_000, {kind: 'crashed', id: 'c', running: [dead]}]],
		run([[45_000, {kind: 'tick'}]], state),
	);
	assert.equal(read(again, 'dead', 10 * 60_000), 'quarantined');
	const rare = run([[16 * 60_000, {kind: 'tick'}]], again);
	assert.equal(read(rare, 'dead', 16 * 60_000), 'suspect');
});

test('records are forgotten when they no longer matter', () => {
	const state = run([
		[0, {kind: 'crashed', id: 'a', running: [dead, lamb]}],
		[0, {kind: 'crashed', id: 'b', running: [dead]}],
	]);
	assert.deepEqual(
		[...run([[60_001, {kind: 'tick'}]], state).keys()],
		['dead'],
	);
	assert.equal(run([[120_001, {kind: 'tick'}]], state).size, 0);
});

/** Three crashes of the first software version, as messages. */
const crashesOfFirst = ['a', 'b', 'c'].map(
	(id): readonly [number, QuarantineMessage] => [
		0,
		{kind: 'crashed', id, running: [dead], version: 'v1'},
	],
);

const secondAnnounced: QuarantineMessage = {
	kind: 'announced',
	service: 'registry',
	version: 'v2',
};

// Regression: a service whose fault had been mended waited for the end of the quarantine.
test('a new software version may run a quarantined request, and older ones may not', () => {
	const before = run(crashesOfFirst);
	assert.equal(read(before, 'dead', 10, 'v2'), 'quarantined');
	const state = run([[10, secondAnnounced]], before);
	assert.deepEqual(
		[undefined, 'v1', 'v2', 'v3'].map((version) =>
			read(state, 'dead', 10, version),
		),
		['suspect', 'quarantined', 'suspect', 'quarantined'],
	);
	const answered = run(
		[[20, {kind: 'completed', fingerprint: 'dead', version: 'v2'}]],
		state,
	);
	assert.deepEqual(
		[undefined, 'v1', 'v2', 'v3'].map((version) =>
			read(answered, 'dead', 20, version),
		),
		['suspect', 'quarantined', 'none', 'quarantined'],
	);
	const crashedTwice = run(
		['d', 'e'].map((id) => [
			30,
			{kind: 'crashed', id, running: [dead], version: 'v2'},
		]),
		answered,
	);
	assert.equal(read(crashedTwice, 'dead', 30, 'v2'), 'quarantined');
	assert.equal(read(crashedTwice, 'dead', 30), 'quarantined');
});

test('a new software version that crashes as well is not tried again', () => {
	const state = run([
		...crashesOfFirst,
		[10, secondAnnounced],
		[20, {kind: 'crashed', id: 'd', running: [dead], version: 'v2'}],
		[30, secondAnnounced],
	]);
	assert.equal(read(state, 'dead', 30, 'v2'), 'quarantined');
	assert.equal(read(state, 'dead', 30), 'quarantined');
});

test('a software version that was running at the crashes is not tried again', () => {
	const first: QuarantineMessage = {...secondAnnounced, version: 'v1'};
	const state = run([...crashesOfFirst, [10, first]]);
	assert.equal(read(state, 'dead', 10), 'quarantined');
	const unknown = run([
		[0, {kind: 'crashed', id: 'd', running: [dead]}],
		...crashesOfFirst,
		[10, secondAnnounced],
	]);
	assert.equal(read(unknown, 'dead', 10), 'quarantined');
});

test('requests of one service do not displace the records of another', () => {
	const attack: Array<readonly [number, QuarantineMessage]> = Array.from(
		{length: maxCrashRecords + 50},
		(_, index) => [
			index,
			{
				kind: 'crashed',
				id: `attack-${index}`,
				running: [{fingerprint: `attack-${index}`, service: 'noisy'}],
			},
		],
	);
	const state = run([
		[0, {kind: 'crashed', id: 'a', running: [dead]}],
		...attack,
	]);
	assert.ok(state.size <= maxCrashRecords);
	assert.ok(state.size >= (maxCrashRecords * 7) / 8);
	assert.equal(read(state, 'dead', 0), 'suspect');
	assert.ok(!state.has('attack-0'));
});

test('a record that is received again is not passed on again', () => {
	const state = run(
		Array.from({length: maxCrashesPerRecord + 3}, (_, index) => [
			index,
			{kind: 'crashed', id: `crash-${index}`, running: [dead]},
		]),
	);
	const older = run(
		Array.from({length: 3}, (_, index) => [
			index,
			{kind: 'crashed', id: `crash-${index}`, running: [dead]},
		]),
	);
	const now = 100;
	for (const records of [encodeAll(state, now), encodeAll(older, now)]) {
		const step = stepQuarantine(
			state,
			{kind: 'received', records},
			now,
			random,
		);
		assert.deepEqual(step.changed, []);
	}
});

test('nodes that exchange their records know the same, whatever the order', () => {
	const requests = fc.constantFrom(dead, lamb);
	const version = fc.constantFrom(undefined, 'v1', 'v2');
	const message: fc.Arbitrary<QuarantineMessage> = fc.oneof(
		fc.record({
			kind: fc.constant('crashed' as const),
			id: fc.constantFrom('a', 'b', 'c', 'd'),
			running: fc.array(requests, {minLength: 1, maxLength: 2}),
			version,
		}),
		fc.record({
			kind: fc.constant('announced' as const),
			service: fc.constant('registry'),
			version: fc.constantFrom('v1', 'v2', 'v3'),
		}),
		fc.record({
			kind: fc.constant('completed' as const),
			fingerprint: fc.constantFrom('dead', 'lamb'),
			version,
		}),
	);
	const history = fc.array(message, {maxLength: 8});
	fc.assert(
		fc.property(history, history, (one, other) => {
			const now = 100;
			const [first, second] = [one, other].map((messages) =>
				run(messages.map((item, index) => [index, item] as const)),
			);
			const merged = [
				run(
					[[now, {kind: 'received', records: encodeAll(second!, now)}]],
					first,
				),
				run(
					[[now, {kind: 'received', records: encodeAll(first!, now)}]],
					second,
				),
			];
			assert.equal(
				computeQuarantineDigest(merged[0]!),
				computeQuarantineDigest(merged[1]!),
			);
		}),
		{seed: 37, numRuns: 200},
	);
});
