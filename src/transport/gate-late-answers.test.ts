/**
 * Tests of requests that a load report does not count although their upstream
 * answers them, at a gate whose event loop lags.
 */
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startHeldGate} from '../../harness/start-held-gate.js';
import type {AttemptResult} from '../protocol/attempt.js';
import {waitForTurns} from './_lib/wait-for-turns.js';
import {defaultEdge} from './default-edge.js';

/** A load report of an upstream that works on the request which it answers, and on no other. */
const idleReport = {'boragehitch-upstream-load': '1,0,6'};

const serviceMs = 100;

const objectiveMs = 500;

/** Time for which the event loop stands still, ms; longer than the gate waits for responses in transit. */
const blockMs = 80;

/** Event loop turns after which a response has been read and its attempt has ended. */
const turnsToEnd = 10;

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
	let notices = 0;
	const attempt = {
		objectiveMs,
		route: 'valves',
		onUnanswered() {
			notices++;
		},
	};
	const first = [gate.run(attempt), gate.run(attempt)];
	await gate.waitUntilHeld(2);
	gate.advance(serviceMs);
	gate.answer();
	gate.answer(idleReport);
	await Promise.all(first);
	return {
		...gate,
		run: async () => gate.run(attempt),
		readNotices: () => notices,
	};
}

// Regression: a node whose event loop had lagged gave up requests whose responses it had not read yet.
test('a response that lies unread while its request is missing from a report is delivered', async (t) => {
	const {run, held, waitUntilHeld, advance, answer, readNotices} = await start(
		t,
		0,
	);
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
	assert.equal(readNotices(), 0);
});

// Regression: a node whose event loop had lagged gave up requests that it had sent after the upstream had written the report.
test('a report that was written before a request was sent does not give it up', async (t) => {
	const lagMs = 250;
	const {run, waitUntilHeld, advance, answer, readNotices} = await start(
		t,
		lagMs,
	);
	const reporting = run();
	await waitUntilHeld(1);
	answer(idleReport);
	const running = run();
	// The response to the first request is read after this timer has fired.
	const stoodStill = new Promise<void>((resolve) => {
		setTimeout(() => {
			advance(lagMs);
			resolve();
		}, 1);
	});
	block(5);
	await stoodStill;
	assert.equal(formatOutcome(await reporting), 'answered');
	await waitUntilHeld(1);
	const isOpen = await Promise.race([
		running.then(() => false),
		sleep(lagMs + blockMs, true),
	]);
	assert.ok(isOpen, 'the request was given up');
	assert.equal(readNotices(), 0);
	await waitForTurns(turnsToEnd);
	answer();
	assert.equal(formatOutcome(await running), 'answered');
});

// Regression: a request that its upstream was working on was given up after a refusal, whose report did not count the refused request.
test('the report of a refusal does not give up the only other request', async (t) => {
	const {run, held, waitUntilHeld, advance, answer, readNotices} = await start(
		t,
		0,
	);
	const running = run();
	await waitUntilHeld(1);
	const refused = run();
	await waitUntilHeld(2);
	advance(250);
	held[1]!.statusCode = 503;
	answer({...idleReport, 'boragehitch-shed': 'not-run'}, 1);
	assert.equal(formatOutcome(await refused), 'not-run shed');
	const isOpen = await Promise.race([
		running.then(() => false),
		sleep(blockMs, true),
	]);
	assert.ok(isOpen, 'the request was given up');
	assert.equal(readNotices(), 0);
	answer();
	assert.equal(formatOutcome(await running), 'answered');
});
