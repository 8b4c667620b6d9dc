/**
 * Tests of how the gate detects requests that a full upstream has dropped
 * without a response.
 */
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {
	setImmediate as waitForTurn,
	setTimeout as sleep,
} from 'node:timers/promises';
import {startHeldGate} from '../../harness/start-held-gate.js';
import type {AttemptResult, GateLoad} from '../protocol/attempt.js';
import {emptyReport} from '../protocol/edge.js';

const loadHeader = 'boragehitch-upstream-load';

/** Usual service time of the upstream, ms. */
const serviceMs = 100;

/** Route of the attempts, whose service time the gate has measured. */
const route = 'valves';

/** Objective of the attempts, ms. */
const objectiveMs = 500;

/** Time in which the gate tells the sender of a request that is missing from a report, ms. */
const confirmMs = 100;

/** Time in which the gate checks its unanswered requests, ms. */
const checksMs = 250;

function formatOutcome(result: AttemptResult | undefined): string {
	if (!result) {
		return 'open';
	}

	return result.kind === 'answered'
		? 'answered'
		: `${result.kind} ${result.reason}`;
}

/** Starts a gate that has measured the service time of its upstream and received a load report. */
async function start(
	t: TestContext,
	{slots = 6, load}: {slots?: number; load?: GateLoad} = {},
) {
	const probes: string[] = [];
	const held = await startHeldGate(
		t,
		{slots},
		{
			async probeLoad({address}) {
				probes.push(address);
				return load;
			},
		},
	);
	const first = held.run({objectiveMs, route});
	await held.waitUntilHeld(1);
	held.advance(serviceMs);
	held.answer({[loadHeader]: '1,0,6'});
	await first;

	/** Sends an attempt and records its result once available. */
	async function send(isRepeatable: boolean) {
		const count = held.held.length;
		const sent: {result?: AttemptResult; notices: number} = {notices: 0};
		const stamp = held.gate.readStamp();
		const attempt = {objectiveMs, route, repeatable: isRepeatable, stamp};
		const onUnanswered = (): void => {
			sent.notices++;
		};

		void held.run({...attempt, onUnanswered}).then((result) => {
			sent.result = result;
		});
		await held.waitUntilHeld(count + 1);
		return sent;
	}

	/** Has requests sent and answered one after the other, each with the same load report, and returns the last, which is not answered. */
	async function sendReports(reports: number, running: number, index: number) {
		let last = await send(true);
		for (let report = 0; report < reports; report++) {
			const before = last;
			last = await send(true);
			held.advance(25);
			held.answer({[loadHeader]: `${running},0,6`}, index);
			await waitUntil(() => before.result !== undefined);
		}

		return last;
	}

	return {...held, send, sendReports, probes};
}

/** Waits until a condition holds; the test runner limits the time. */
async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await waitForTurn();
	}
}

// Guards against waiting for a dropped request until its deadline.
test('the sender of a request that the load report of another response does not count is told', async (t) => {
	const {send, advance, answer} = await start(t);
	const dropped = await send(true);
	const other = await send(true);
	advance(250);
	answer({[loadHeader]: '1,0,6'}, 1);
	await waitUntil(() => dropped.notices > 0);
	await waitUntil(() => other.result !== undefined);
	assert.equal(formatOutcome(other.result), 'answered');
	assert.equal(other.notices, 0);
});

// Regression: a request that its upstream was working on was given up, as a load report did not count it.
test('a request that load reports do not count is not given up, and its sender is told once', async (t) => {
	const {send, advance, answer} = await start(t);
	const unreported = await send(true);
	for (let reports = 0; reports < 3; reports++) {
		const other = await send(true);
		advance(250);
		answer({[loadHeader]: '1,0,6'}, 1);
		await waitUntil(() => other.result !== undefined);
		await waitUntil(() => unreported.notices > 0);
		await sleep(confirmMs);
	}

	assert.equal(unreported.notices, 1);
	assert.equal(formatOutcome(unreported.result), 'open');
	answer();
	await waitUntil(() => unreported.result !== undefined);
	assert.equal(formatOutcome(unreported.result), 'answered');
});

// Regression: a request behind one that was not repeatable was counted as sent, and had no outcome before its deadline.
test('a request that finds only slots of requests that its upstream does not seem to work on is refused in time', async (t) => {
	const {send, run, gate, held, advance} = await start(t, {slots: 2});
	await send(false);
	await send(false);
	advance(250);
	gate.handleReport('i-1', emptyReport, {inFlight: 1, queued: 0, slots: 2});
	await sleep(confirmMs);
	const remainingMs = 300;
	const result = await Promise.race([
		run({objectiveMs, route, remainingMs}),
		sleep(remainingMs, undefined),
	]);
	assert.equal(result?.kind, 'not-run');
	assert.equal(held.length, 2);
});

test('a request that its upstream does not seem to work on occupies its slot', async (t) => {
	const {send, run, held, advance, answer} = await start(t, {slots: 2});
	const unreported = await send(true);
	const other = await send(true);
	advance(250);
	answer({[loadHeader]: '1,0,2'}, 1);
	await waitUntil(() => other.result !== undefined);
	await waitUntil(() => unreported.notices > 0);
	const last = [run({objectiveMs, route}), run({objectiveMs, route})];
	await waitUntil(() => held.length === 2);
	await sleep(confirmMs);
	assert.equal(held.length, 2);
	answer({}, 1);
	await waitUntil(() => held.length === 2);
	answer();
	answer();
	const results = await Promise.all(last);
	assert.deepEqual(
		results.map((result) => formatOutcome(result)),
		['answered', 'answered'],
	);
});

test('a request that the load report counts as running is not given up', async (t) => {
	const {send, advance, answer} = await start(t);
	const slow = await send(true);
	const other = await send(true);
	advance(450);
	answer({[loadHeader]: '2,0,6'}, 1);
	await waitUntil(() => other.result !== undefined);
	assert.equal(formatOutcome(slow.result), 'open');
	assert.equal(slow.notices, 0);
	answer();
	await waitUntil(() => slow.result !== undefined);
	assert.equal(formatOutcome(slow.result), 'answered');
});

test('an upstream without other requests is probed for its load', async (t) => {
	const {send, advance, probes} = await start(t, {
		load: {inFlight: 1, queued: 0, slots: 6},
	});
	const dropped = await send(true);
	advance(250);
	await waitUntil(() => dropped.notices > 0);
	assert.equal(formatOutcome(dropped.result), 'open');
	assert.equal(probes.length, 1);
});

// Regression: an upstream was probed each second for a request that was found lost already.
test('an upstream is not probed again for a request whose sender was told', async (t) => {
	const {send, advance, probes} = await start(t, {
		load: {inFlight: 1, queued: 0, slots: 6},
	});
	const dropped = await send(true);
	advance(250);
	await waitUntil(() => dropped.notices > 0);
	for (let seconds = 0; seconds < 3; seconds++) {
		advance(1000);
		await sleep(checksMs);
	}

	assert.equal(probes.length, 1);
});

test('the sender of a request that successive load reports of a busy upstream do not count is told', async (t) => {
	const {send, advance, answer} = await start(t);
	const dropped = await send(true);
	await send(true);
	for (let reports = 0; reports < 8; reports++) {
		await send(true);
		advance(25);
		answer({[loadHeader]: '2,0,6'}, 1);
		await waitForTurn();
	}

	await waitUntil(() => dropped.notices > 0);
	assert.equal(formatOutcome(dropped.result), 'open');
});

// Regression: an upstream lost two requests, and the sender of the later one was not told before the first one had ended.
test('the sender of a lost request is told while an earlier one is still held', async (t) => {
	const {send, sendReports, answer} = await start(t);
	const first = await send(true);
	const last = await sendReports(8, 2, 1);
	await waitUntil(() => first.notices > 0);
	answer({[loadHeader]: '1,0,6'}, 1);
	await waitUntil(() => last.result !== undefined);
	const second = await send(true);
	const running = await sendReports(12, 2, 2);
	await sleep(confirmMs);
	assert.equal(second.notices, 1);
	assert.equal(first.notices, 1);
	assert.equal(running.notices, 0);
	answer();
	await waitUntil(() => first.result !== undefined);
	assert.equal(formatOutcome(first.result), 'answered');
});

// Guards against forgetting a lost request that the reports of a wrongly suspected one have hidden.
test('the sender of a lost request is told once a wrongly suspected one is answered', async (t) => {
	const {send, sendReports, answer} = await start(t);
	const running = await send(true);
	const lost = await send(true);
	await sendReports(8, 2, 2);
	await waitUntil(() => running.notices > 0);
	answer({[loadHeader]: '2,0,6'});
	await waitUntil(() => running.result !== undefined);
	await sendReports(8, 3, 2);
	await sleep(confirmMs);
	assert.equal(lost.notices, 1);
});

// Regression: the reports that lacked an earlier request were taken to lack a running one, too.
test('a request that a single load report does not count is not taken for lost after an earlier one', async (t) => {
	const {send, sendReports, advance, answer} = await start(t);
	const lost = await send(true);
	const running = await send(true);
	const last = await sendReports(8, 3, 2);
	await waitUntil(() => lost.notices > 0);
	await send(true);
	advance(25);
	answer({[loadHeader]: '2,0,6'}, 2);
	await waitUntil(() => last.result !== undefined);
	await sleep(confirmMs);
	assert.equal(running.notices, 0);
	await sendReports(12, 4, 3);
	await sleep(confirmMs);
	assert.equal(running.notices, 0);
	assert.equal(lost.notices, 1);
});

// Guards against giving up a running request whose response is on its way: 27 such requests were given up within seven seconds.
test('a request that a single load report of a busy upstream does not count is not given up', async (t) => {
	const {send, advance, answer} = await start(t);
	const slow = await send(true);
	const others = [await send(true), await send(true)];
	advance(250);
	answer({[loadHeader]: '2,0,6'}, 1);
	await waitUntil(() => others[0]?.result !== undefined);
	await sleep(confirmMs);
	assert.equal(formatOutcome(slow.result), 'open');
	assert.equal(slow.notices, 0);
	answer();
	answer();
	await waitUntil(() => others[1]?.result !== undefined);
	assert.equal(formatOutcome(slow.result), 'answered');
});

// The request may have run, and its response may still arrive.
test('a dropped request that is not repeatable is not given up', async (t) => {
	const {send, run, held, advance, answer} = await start(t, {slots: 2});
	const dropped = await send(false);
	const other = await send(true);
	const waiting = run({objectiveMs, route});
	advance(250);
	answer({[loadHeader]: '1,0,2'}, 1);
	await waitUntil(() => other.result !== undefined);
	await waitUntil(() => held.length === 2);
	answer({}, 1);
	assert.equal(formatOutcome(await waiting), 'answered');
	assert.equal(formatOutcome(dropped.result), 'open');
	assert.equal(dropped.notices, 0);
	answer();
	await waitUntil(() => dropped.result !== undefined);
	assert.equal(formatOutcome(dropped.result), 'answered');
});

test('a gate that starts while its upstream is busy does not overload the upstream', async (t) => {
	const {gate, run, held, answer, waitUntilHeld} = await start(t);
	gate.handleReport('i-1', emptyReport, {inFlight: 6, queued: 0, slots: 6});
	const results = [run(), run()];
	await waitUntilHeld(1);
	assert.equal(held.length, 1);
	answer({[loadHeader]: '1,0,6'});
	await waitUntilHeld(1);
	answer({[loadHeader]: '1,0,6'});
	const ended = await Promise.all(results);
	assert.deepEqual(
		ended.map((result) => formatOutcome(result)),
		['answered', 'answered'],
	);
});
