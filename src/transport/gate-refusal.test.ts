/**
 * Tests of attempts that the gate refuses before it receives their body, and of
 * those that the upstream has refused.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {createSampleAttempt} from '../../harness/create-sample-attempt.js';
import {startHeldGate} from '../../harness/start-held-gate.js';

const route = 'valves';
const objectiveMs = 500;

// Guards against reading a long body to its end before refusing the attempt.
test('an attempt that cannot meet its objective is refused before its body is read', async (t) => {
	const {gate, run, held, waitUntilHeld, advance, answer} = await startHeldGate(
		t,
		{slots: 1},
	);
	const attempt = createSampleAttempt({
		id: 'long/1',
		route,
		remainingMs: 2000,
		objectiveMs,
	});
	// The gate measures the service time of the upstream.
	const first = run({objectiveMs, route});
	await waitUntilHeld(1);
	advance(100);
	answer();
	await first;
	assert.equal(gate.refuseBeforeBody(attempt), undefined);

	const results = [];
	for (let count = 0; count < 5; count++) {
		results.push(run({objectiveMs: 20_000, route}));
	}

	await waitUntilHeld(1);
	const refusal = gate.refuseBeforeBody(attempt);
	assert.ok(refusal?.kind === 'not-run');
	assert.equal(refusal.reason, 'saturated');

	for (const result of results) {
		await waitUntilHeld(1);
		answer();
		advance(10);
		await result;
	}

	await waitForTurn();
	assert.equal(held.length, 0);
});

// Guards against taking the refusal of an earlier attempt, written once more on its connection, for the response to this one.
test('a request that the upstream has refused is sent again on a new connection', async (t) => {
	const {run, held, waitUntilHeld, answer} = await startHeldGate(t);

	/** Sends an attempt at a request and refuses it; returns the port of its connection. */
	async function refuse(requestId: string): Promise<number | undefined> {
		const result = run({requestId});
		await waitUntilHeld(1);
		const [response] = held;
		const port = response?.socket?.remotePort;
		response!.statusCode = 503;
		answer({'boragehitch-shed': 'not-run'});
		const {kind} = await result;
		assert.equal(kind, 'not-run');
		return port;
	}

	const first = await refuse('lamb');
	assert.notEqual(await refuse('lamb'), first);
	assert.equal(await refuse('beef'), first);
});
