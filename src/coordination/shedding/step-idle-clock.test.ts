import assert from 'node:assert/strict';
import test from 'node:test';
import {stepIdleClock, type IdleClock} from './step-idle-clock.js';

test('only the time without anything in flight counts as idle', () => {
	let clock: IdleClock = {inFlight: 0, idleMs: 0, at: 100};
	const changes = [
		[1, 150],
		[1, 160],
		[-1, 200],
		[0, 220],
		[-1, 240],
		[0, 270],
	] as const;
	for (const [change, at] of changes) {
		clock = stepIdleClock(clock, change, at);
	}

	assert.deepEqual(clock, {inFlight: 0, idleMs: 80, at: 270});
});

test('a clock that goes back does not reduce the idle time', () => {
	const clock = stepIdleClock({inFlight: 0, idleMs: 5, at: 100}, 0, 90);
	assert.equal(clock.idleMs, 5);
});
