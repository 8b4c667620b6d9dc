import assert from 'node:assert/strict';
import test from 'node:test';
import {stepBaseTime} from './step-base-time.js';

test('waits do not raise the base time, and a slower service does in time', () => {
	let baseMs: number | undefined;
	for (const durationMs of [30, 80, 25, 300]) {
		baseMs = stepBaseTime(baseMs, durationMs);
	}

	assert.ok(Math.abs(baseMs! - 25) < 0.1);
	for (let call = 0; call < 5000; call++) {
		baseMs = stepBaseTime(baseMs, 90);
	}

	assert.equal(baseMs, 90);
});
