import assert from 'node:assert/strict';
import test from 'node:test';
import {decideEventLoopAdmission} from './decide-event-loop-admission.js';

/** CPU time of one request at a node, ms. */
const requestMs = 5;

/** Simulates requests at a fixed interval and returns the longest event loop lag, ms. */
function replayLoad(intervalMs: number, canRefuse: boolean): number {
	let freeAt = 0;
	let longestMs = 0;
	for (let now = 0; now < 10_000; now += intervalMs) {
		const lagMs = Math.max(0, freeAt - now);
		longestMs = Math.max(longestMs, lagMs);
		const priority = (now / intervalMs) % 3;
		const isTaken = !canRefuse || decideEventLoopAdmission({lagMs, priority});
		freeAt = Math.max(freeAt, now) + (isTaken ? requestMs : requestMs / 10);
	}

	return longestMs;
}

test('an overloaded node limits its event loop lag by refusing requests', () => {
	assert.ok(replayLoad(3, false) > 1000);
	assert.ok(replayLoad(3, true) <= 165);
	assert.equal(replayLoad(6, true), 0);
});

test('routes of high priority are refused last', () => {
	const refused = [0, 1, 2, 3, 9].map(
		(priority) => !decideEventLoopAdmission({lagMs: 100, priority}),
	);
	assert.deepEqual(refused, [false, false, true, true, true]);
});
