import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createSampleAttempt} from '../../../harness/create-sample-attempt.js';
import {defaultDeadlineMs, maxDeadlineMs} from '../../protocol/constants.js';
import {
	deadlineHeader,
	depthHeader,
	gateTimeHeader,
	objectiveHeader,
	priorityHeader,
	routeObjectiveHeader,
	stampHeader,
} from '../../protocol/request.js';
import {createAttemptHeaders} from './create-attempt-headers.js';
import {readAttempt} from './read-attempt.js';

const attempt = createSampleAttempt({
	depth: 2,
	priority: 3,
	objectiveMs: -40,
	routeObjectiveMs: 80,
	createdAtGateMs: -5,
	stamp: {timeMs: 7, epoch: 'a'},
});
const {method, path, body, signal} = attempt;
const numberHeaders = [
	deadlineHeader,
	depthHeader,
	gateTimeHeader,
	objectiveHeader,
	priorityHeader,
	routeObjectiveHeader,
];

function read(changes: Readonly<Record<string, string>>) {
	const headers = {...createAttemptHeaders(attempt), ...changes};
	const {remainingMs, depth, priority, stamp, ...rest} = readAttempt(headers, {
		method,
		path,
		body,
		signal,
	});
	const {objectiveMs, routeObjectiveMs, createdAtGateMs} = rest;
	return {
		remainingMs,
		depth,
		priority,
		objectiveMs,
		routeObjectiveMs,
		createdAtGateMs,
		stamp,
	};
}

const sound = {
	remainingMs: 500,
	depth: 2,
	priority: 3,
	objectiveMs: -40,
	routeObjectiveMs: 80,
	createdAtGateMs: -5,
	stamp: {timeMs: 7, epoch: 'a'},
};

test('an unreadable number in the headers of an attempt costs itself only', () => {
	assert.deepEqual(read({}), sound);
	for (const odd of ['x', '', 'NaN', '1e400', 'Infinity', '0x10', '1, 2']) {
		const cases: ReadonlyArray<
			readonly [string, Readonly<Record<string, unknown>>]
		> = [
			[deadlineHeader, {remainingMs: defaultDeadlineMs}],
			[depthHeader, {depth: 0}],
			[priorityHeader, {priority: undefined}],
			[objectiveHeader, {objectiveMs: undefined}],
			[routeObjectiveHeader, {routeObjectiveMs: undefined}],
			[gateTimeHeader, {createdAtGateMs: undefined}],
			[stampHeader, {stamp: undefined}],
		];
		for (const [name, change] of cases) {
			assert.deepEqual(read({[name]: odd}), {...sound, ...change}, name);
		}
	}
});

test('a time limit fits a timer, and a depth beyond the limit stays beyond it', () => {
	const digits = '9'.repeat(400);
	assert.equal(read({[deadlineHeader]: digits}).remainingMs, maxDeadlineMs);
	assert.equal(read({[deadlineHeader]: '-1'}).remainingMs, 0);
	assert.ok(read({[depthHeader]: digits}).depth > 16);
	assert.ok(read({[depthHeader]: digits}).depth < 100);
});

test('whatever the headers, the numbers of an attempt are finite', () => {
	fc.assert(
		fc.property(
			fc.constantFrom(...numberHeaders),
			fc.oneof(fc.string(), fc.double().map(String), fc.bigInt().map(String)),
			(name, text) => {
				const {stamp, ...numbers} = read({[name]: text});
				assert.deepEqual(stamp, sound.stamp);
				for (const number of Object.values(numbers)) {
					assert.ok(number === undefined || Number.isFinite(number));
				}
			},
		),
		{seed: 40, numRuns: 1000},
	);
});

test('a nested call stays one between nodes, and a client cannot claim to be one', () => {
	const send = (isNested: boolean) =>
		readAttempt(
			createAttemptHeaders({
				...attempt,
				isNested,
				headers: {'boragehitch-nested': 'true'},
			}),
			{method, path, body, signal},
		).isNested;
	assert.equal(send(true), true);
	assert.equal(send(false), undefined);
});
