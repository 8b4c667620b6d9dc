import assert from 'node:assert/strict';
import test from 'node:test';
import {computeUpstreamWork} from './compute-upstream-work.js';

function createLoad(inFlight: number, queued = 0) {
	return {inFlight, queued};
}

test('requests that an upstream does not count are lost', () => {
	const first = computeUpstreamWork(
		undefined,
		{load: createLoad(3), unanswered: 2, read: 2},
		0,
	);
	assert.deepEqual(first, {at: 0, lost: 0, others: 0, countsOwn: true});
	const second = computeUpstreamWork(
		first,
		{load: createLoad(2), unanswered: 3, read: 3},
		10,
	);
	assert.equal(second.lost, 2);
});

test('a report may leave out the request that it comes with', () => {
	const work = computeUpstreamWork(
		undefined,
		{load: createLoad(2), unanswered: 2, read: 2},
		0,
	);
	assert.equal(work.lost, 0);
	assert.equal(work.countsOwn, false);
});

test('requests that may not have been read are not counted as lost', () => {
	const work = computeUpstreamWork(
		undefined,
		{load: createLoad(1), unanswered: 4, read: 1},
		0,
	);
	assert.equal(work.lost, 0);
});

test('a queue counts as work', () => {
	const work = computeUpstreamWork(
		undefined,
		{load: createLoad(6, 3), unanswered: 8, read: 8},
		0,
	);
	assert.deepEqual([work.lost, work.others], [0, 0]);
});

test('work of a gate that has started again is not its own', () => {
	const work = computeUpstreamWork(
		undefined,
		{load: createLoad(5), unanswered: 0, read: 0},
		0,
	);
	assert.equal(work.others, 4);
});
