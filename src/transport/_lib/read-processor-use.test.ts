import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import test from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {readProcessorUse} from './read-processor-use.js';

const workMs = 60;

test('work counts as processor time and as time of the event loop', async () => {
	await wait(1);
	const before = readProcessorUse();
	const endsAt = performance.now() + workMs;
	while (performance.now() < endsAt) {
		// Keeps the event loop busy.
	}

	await wait(1);
	const after = readProcessorUse();
	assert.ok(after.busyMs - before.busyMs >= workMs);
	assert.ok(after.userMs + after.systemMs > before.userMs + before.systemMs);
});

test('waiting does not count as time of the event loop', async () => {
	await wait(1);
	const before = readProcessorUse();
	const startedAt = performance.now();
	await wait(workMs);
	const {busyMs} = readProcessorUse();
	assert.ok(busyMs - before.busyMs < performance.now() - startedAt);
});
