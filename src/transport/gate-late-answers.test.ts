/**
 * Tests of requests that a load report does not count although their upstream
 * answers them, at a gate whose event loop lags.
 */
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {startHeldGate} from '../../harness/start-held-gate.js';
import type {AttemptResult} from '../protocol/attempt.js';
import {defaultEdge} from './default-edge.js';

/** A load report of an upstream that works on the request which it answers, and on no other. */
const idleReport = {'boragehitch-upstream-load': '1,0,6'};

const serviceMs = 100;

const objectiveMs = 500;

/** Time for which the event loop stands still, ms; longer than the gate waits for responses in transit. */
const blockMs = 80;

function block(durationMs: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

function formatOutcome(result: AttemptResult): string {
	return result.kind === 'answered'
		? 'answered'
		: `${result.kind} ${result.reason}`;
}

/** Starts a gate that has measured its upstream and keeps two connections to it. */
async function start(t: TestContext, maxWaitMs: number) {
	const gate = await startHeldGate(
		t,
		{},
		{
			edge: {...defaultEdge, identifiesResponses: true},
			probeLoad: async () => undefined,
			readMaxWait: () => maxWaitMs,
		},
	);
	const attempt = {objectiveMs, route: 'valves'};
	const first = [gate.run(attempt), gate.run(attempt)];
	await gate.waitUntilHeld(2);
	gate.advance(serviceMs);
	gate.answer();
	gate.answer(idleReport);
	await Promise.all(first);
	return {...gate, run: async () => gate.run(attempt)};
}

// Regression: a node whose event loop had lagged gave up requests whose responses it had not read yet.
test('a response that lies unread while its request is missing from a report is delivered', async (t) => {
	const {run, held, waitUntilHeld, advance, answer} = await start(t, 0);
	const unread = run();
	await waitUntilHeld(1);
	const other = run();
	await waitUntilHeld(2);
	advance(250);
	answer(idleReport, 1);
	await other;
	assert.equal(held.length, 1);
	answer();
	block(blockMs);
	assert.equal(formatOutcome(await unread), 'answered');
});
