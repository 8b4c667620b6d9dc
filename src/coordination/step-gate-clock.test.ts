import assert from 'node:assert/strict';
import test from 'node:test';
import {computeGateTime} from './compute-gate-time.js';
import {stepGateClock, type GateClock} from './step-gate-clock.js';

/** Takes stamps of a gate in, each as its time and the way to the receiver. */
function applyStamps(
	stamps: ReadonlyArray<{sentAt: number; transitMs: number}>,
	{offsetMs, epoch = 'a'}: {offsetMs: number; epoch?: string},
	clock?: GateClock,
): GateClock {
	let next = clock;
	for (const {sentAt, transitMs} of stamps) {
		next = stepGateClock(
			next,
			{epoch, timeMs: sentAt},
			sentAt + transitMs + offsetMs,
		);
	}

	return next!;
}

test('the stamp that came soonest tells the time of the gate', () => {
	const clock = applyStamps(
		[
			{sentAt: 0, transitMs: 300},
			{sentAt: 1000, transitMs: 2},
			{sentAt: 2000, transitMs: 700},
		],
		{offsetMs: 5000},
	);
	assert.equal(computeGateTime(clock, 8000), 2998);
});

test('a gate that has started again has a new clock', () => {
	const before = applyStamps([{sentAt: 9000, transitMs: 1}], {offsetMs: 0});
	const after = applyStamps(
		[{sentAt: 10, transitMs: 1}],
		{offsetMs: 9500, epoch: 'b'},
		before,
	);
	assert.equal(computeGateTime(after, 9600), 99);
});

test('a suspended receiver learns the time from the next stamp', () => {
	const before = applyStamps([{sentAt: 1000, transitMs: 1}], {offsetMs: 0});
	const after = applyStamps(
		[{sentAt: 5000, transitMs: 1}],
		{offsetMs: -3000},
		before,
	);
	assert.equal(computeGateTime(after, 2100), 5099);
});

test('a suspended gate is known by its new time after two windows', () => {
	const before = applyStamps([{sentAt: 1000, transitMs: 1}], {offsetMs: 0});
	const stamps = [2000, 6000, 9000, 14_000].map((sentAt) => ({
		sentAt,
		transitMs: 1,
	}));
	const after = applyStamps(stamps, {offsetMs: 3000}, before);
	assert.equal(computeGateTime(after, 17_100), 14_099);
});
