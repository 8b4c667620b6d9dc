import assert from 'node:assert/strict';
import test from 'node:test';
import {createElapsedClock} from './create-elapsed-clock.js';

test('a suspension before the first use of the clock counts', () => {
	let wallMs = 1000;
	const read = createElapsedClock({now: () => 50, readWallTime: () => wallMs});
	wallMs += 7000;
	assert.equal(read(), 7050);
});
