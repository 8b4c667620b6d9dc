import assert from 'node:assert/strict';
import test from 'node:test';
import {computeGateTime} from './compute-gate-time.js';
import {stepGateClock, type GateClock} from './step-gate-clock.js';

/** Takes stamps of a gate in, each as its time and the way to the receiver. */
function takeStamps(
	stamps: ReadonlyArray<{sentAt: number; wayMs: number}>,
	{aheadMs, epoch = 'a'}: {aheadMs: number; epoch?: string},
	clock?: GateClock,
): GateClock {
	let next = clock;
	for (const {sentAt, wayMs} of stamps) {
		next = stepGateClock(
			next,
			{epoch, timeMs: sentAt},
			sentAt + wayMs + aheadMs,
		);
	}

	return next!;
}

test('the stamp that came soonest tells the time of the gate', () => {
	const clock = takeStamps(
		[
			{sentAt: 0, wayMs: 300},
			{sentAt: 1000, wayMs: 2},
			{sentAt: 2000, wayMs: 700},
		],
		{aheadMs: 5000},
	);
	assert.equal(computeGateTime(clock, 8000), 2998);
});

test('a gate that has started again has a new clock', () => {
	const before = takeStamps([{sentAt: 9000, wayMs: 1}], {aheadMs: 0});
	const after = takeStamps(
		[{sentAt: 10, wayMs: 1}],
		{aheadMs: 9500, epoch: 'b'},
		before,
	);
	assert.equal(computeGateTime(after, 9600), 99);
});

test('a suspended receiver learns the time from the next stamp', () => {
	const before = takeStamps([{sentAt: 1000, wayMs: 1}], {aheadMs: 0});
	const after = takeStamps(
		[{sentAt: 5000, wayMs: 1}],
		{aheadMs: -3000},
		before,
	);
	assert.equal(computeGateTime(after, 2100), 5099);
});

test('a suspended gate is known by its new time after two windows', () => {
	const before = takeStamps([{sentAt: 1000, wayMs: 1}], {aheadMs: 0});
	const stamps = [2000, 6000, 9000, 14_000].map((sentAt) => ({
		sentAt,
		wayMs: 1,
	}));
	const after = takeStamps(stamps, {aheadMs: 3000}, before);
	assert.equal(computeGateTime(after, 17_100), 14_099);
});
