/**
 * Upstreams that are full and drop requests without a word, as the gate finds them.
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

/** Time that the upstream usually takes, ms. */
const serviceMs = 100;

/** Route of the attempts, whose time the gate knows. */
const route = 'valves';

/** Objective of the attempts, ms. */
const objectiveMs = 500;

function describe(result: AttemptResult | undefined): string {
	if (!result) {
		return 'open';
	}

	return result.kind === 'answered'
		? 'answered'
		: `${result.kind} ${result.reason}`;
}

/** Starts a gate that knows how long its upstream takes and how it counts. */
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

	/** Sends an attempt and notes its result when it comes. */
	async function send(isRepeatable: boolean) {
		const count = held.held.length;
		const sent: {result?: AttemptResult} = {};
		const stamp = held.gate.readStamp();
		const attempt = {objectiveMs, route, repeatable: isRepeatable, stamp};
		void held.run(attempt).then((result) => {
			sent.result = result;
		});
		await held.waitUntilHeld(count + 1);
		return sent;
	}

	return {...held, send, probes};
}

/** Waits until something has come about; the runner bounds the time of a test. */
async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await waitForTurn();
	}
}

// Such a request used to be waited for until its deadline.
test('a request that lacks in the report with another answer goes elsewhere', async (t) => {
	const {send, advance, answer} = await start(t);
	const dropped = await send(true);
	const other = await send(true);
	advance(250);
	answer({[loadHeader]: '1,0,6'}, 1);
	await waitUntil(() => dropped.result !== undefined);
	assert.equal(describe(dropped.result), 'unknown unanswered');
	await waitUntil(() => other.result !== undefined);
	assert.equal(describe(other.result), 'answered');
});

test('a request that is reported as running is waited for', async (t) => {
	const {send, advance, answer} = await start(t);
	const slow = await send(true);
	const other = await send(true);
	advance(450);
	answer({[loadHeader]: '2,0,6'}, 1);
	await waitUntil(() => other.result !== undefined);
	assert.equal(describe(slow.result), 'open');
	answer();
	await waitUntil(() => slow.result !== undefined);
	assert.equal(describe(slow.result), 'answered');
});

test('an upstream without other requests is asked whether it works', async (t) => {
	const {send, advance, probes} = await start(t, {
		load: {inFlight: 1, queued: 0, slots: 6},
	});
	const dropped = await send(true);
	advance(250);
	await waitUntil(() => dropped.result !== undefined);
	assert.equal(describe(dropped.result), 'unknown unanswered');
	assert.equal(probes.length, 1);
});

test('a request that report after report of a busy upstream lacks goes elsewhere', async (t) => {
	const {send, advance, answer} = await start(t);
	const dropped = await send(true);
	await send(true);
	for (let reports = 0; reports < 8; reports++) {
		await send(true);
		advance(25);
		answer({[loadHeader]: '2,0,6'}, 1);
		await waitForTurn();
	}

	await waitUntil(() => dropped.result !== undefined);
	assert.equal(describe(dropped.result), 'unknown unanswered');
});

// Its answer was on its way; 27 requests at work were given up in seven seconds.
test('a request that lacks in one report of a busy upstream is waited for', async (t) => {
	const {send, advance, answer} = await start(t);
	const slow = await send(true);
	const others = [await send(true), await send(true)];
	advance(250);
	answer({[loadHeader]: '2,0,6'}, 1);
	await waitUntil(() => others[0]?.result !== undefined);
	await sleep(100);
	assert.equal(describe(slow.result), 'open');
	answer();
	answer();
	await waitUntil(() => others[1]?.result !== undefined);
	assert.equal(describe(slow.result), 'answered');
});

// Its answer may still come, and it may have run.
test('a request that may not be repeated is not given up, but leaves its slot', async (t) => {
	const {send, run, held, advance, answer} = await start(t, {slots: 2});
	const dropped = await send(false);
	const other = await send(true);
	const waiting = run({objectiveMs, route});
	advance(250);
	answer({[loadHeader]: '1,0,2'}, 1);
	await waitUntil(() => other.result !== undefined);
	await waitUntil(() => held.length === 2);
	answer({}, 1);
	assert.equal(describe(await waiting), 'answered');
	assert.equal(describe(dropped.result), 'open');
	answer();
	await waitUntil(() => dropped.result !== undefined);
	assert.equal(describe(dropped.result), 'answered');
});

test('a gate that starts beside a busy upstream does not overfill it', async (t) => {
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
		ended.map((result) => describe(result)),
		['answered', 'answered'],
	);
});
