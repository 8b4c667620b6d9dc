import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	clockJumpThresholdMs,
	stepElapsedClock,
	type ElapsedClock,
} from './step-elapsed-clock.js';

/** Reads the clock after each change of monotonic time and of the offset of wall-clock time, ms. */
function readElapsed(
	changes: ReadonlyArray<{runMs: number; offsetMs: number}>,
): number {
	let monotonicMs = 0;
	let wallMs = 1e12;
	let clock: ElapsedClock = stepElapsedClock(undefined, {monotonicMs, wallMs});
	for (const {runMs, offsetMs} of changes) {
		monotonicMs += runMs;
		wallMs += runMs + offsetMs;
		clock = stepElapsedClock(clock, {monotonicMs, wallMs});
	}

	return monotonicMs + clock.aheadMs;
}

test('suspensions of any length count, so that a proof is never too young', () => {
	const suspensions = fc.array(
		fc.record({
			runMs: fc.nat({max: 200}),
			offsetMs: fc.oneof(fc.nat({max: 40}), fc.nat({max: 20_000})),
		}),
		{maxLength: 60},
	);
	fc.assert(
		fc.property(suspensions, (changes) => {
			let realMs = 0;
			for (const {runMs, offsetMs} of changes) {
				realMs += runMs + offsetMs;
			}

			const elapsedMs = readElapsed(changes);
			assert.ok(elapsedMs <= realMs);
			assert.ok(elapsedMs >= realMs - clockJumpThresholdMs);
		}),
		{seed: 1, numRuns: 200},
	);
});

test('jitter of the readings adds nothing', () => {
	const changes = Array.from({length: 1000}, (_, index) => ({
		runMs: 100,
		offsetMs: index % 2 === 0 ? 9 : -9,
	}));
	assert.equal(readElapsed(changes), 100_000);
});

test('a step of the wall clock makes proofs older or changes nothing', () => {
	assert.equal(readElapsed([{runMs: 100, offsetMs: -5000}]), 100);
	assert.equal(readElapsed([{runMs: 100, offsetMs: 5000}]), 5100);
	const backAndSuspended = [
		{runMs: 100, offsetMs: -5000},
		{runMs: 100, offsetMs: 300},
	];
	assert.equal(readElapsed(backAndSuspended), 500);
});
