import assert from 'node:assert/strict';
import test from 'node:test';
import type {Attempt} from '../protocol/attempt.js';
import type {Logger} from './create-logger.js';
import {startGateTask} from './start-gate-task.js';

function ignoreLine(): void {
	// The tests look at results only.
}

const logger: Logger = {
	error: ignoreLine,
	warn: ignoreLine,
	info: ignoreLine,
	debug: ignoreLine,
	child: () => logger,
};

test('an attempt that is read after its cancelling does not run', async (t) => {
	const gate = startGateTask({logger, now: () => 1000});
	t.after(async () => gate.stop());
	const attempt: Attempt = {
		id: 'late/1',
		requestId: 'late',
		team: 'registry',
		service: 'registry',
		repeatable: false,
		sheddingMeansNotRun: true,
		method: 'POST',
		path: '/tests',
		headers: {},
		body: new Uint8Array(),
		depth: 0,
		key: undefined,
		traceparent: undefined,
		remainingMs: 500,
		stamp: gate.readStamp(),
		signal: new AbortController().signal,
	};

	gate.cancel({id: attempt.id, stamp: attempt.stamp});
	const result = await gate.runAttempt(attempt);

	assert.equal(result.kind, 'not-run');
	assert.equal(result.kind === 'not-run' && result.reason, 'fenced');
});
