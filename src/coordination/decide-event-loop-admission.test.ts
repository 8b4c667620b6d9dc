import assert from 'node:assert/strict';
import test from 'node:test';
import {decideEventLoopAdmission} from './decide-event-loop-admission.js';

/** Time of one request on a node's processor, ms. */
const requestMs = 5;

/** Replays a load above what the processor bears; gives the longest lag. */
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

test('a node that is asked too much stays responsive by refusing', () => {
	assert.ok(replayLoad(3, false) > 1000);
	assert.ok(replayLoad(3, true) <= 165);
	assert.equal(replayLoad(6, true), 0);
});

test('urgent routes are refused last', () => {
	const refused = [0, 1, 2, 3, 9].map(
		(priority) => !decideEventLoopAdmission({lagMs: 100, priority}),
	);
	assert.deepEqual(refused, [false, false, true, true, true]);
});
