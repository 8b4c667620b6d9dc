import assert from 'node:assert/strict';
import test from 'node:test';
import {computeGateTime} from './compute-gate-time.js';
import {stepGateClock, type GateClock} from './step-gate-clock.js';

/** Applies stamps of a gate, each given as its time and its transit time. */
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

test('the stamp with the shortest transit time determines the time of the gate', () => {
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

test('a restarted gate has a new clock', () => {
	const before = applyStamps([{sentAt: 9000, transitMs: 1}], {offsetMs: 0});
	const after = applyStamps(
		[{sentAt: 10, transitMs: 1}],
		{offsetMs: 9500, epoch: 'b'},
		before,
	);
	assert.equal(computeGateTime(after, 9600), 99);
});

test('after a suspension of the receiver the next stamp corrects the time', () => {
	const before = applyStamps([{sentAt: 1000, transitMs: 1}], {offsetMs: 0});
	const after = applyStamps(
		[{sentAt: 5000, transitMs: 1}],
		{offsetMs: -3000},
		before,
	);
	assert.equal(computeGateTime(after, 2100), 5099);
});

test('after a suspension of the gate the time is corrected within two windows', () => {
	const before = applyStamps([{sentAt: 1000, transitMs: 1}], {offsetMs: 0});
	const stamps = [2000, 6000, 9000, 14_000].map((sentAt) => ({
		sentAt,
		transitMs: 1,
	}));
	const after = applyStamps(stamps, {offsetMs: 3000}, before);
	assert.equal(computeGateTime(after, 17_100), 14_099);
});
