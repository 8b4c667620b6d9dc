/**
 * What the gate refuses before the body of an attempt has come.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {createSampleAttempt} from '../../harness/create-sample-attempt.js';
import {startHeldGate} from '../../harness/start-held-gate.js';

const route = 'valves';
const objectiveMs = 500;

// A long body was read to its end before it was refused.
test('an attempt is refused by its head when it could only be late', async (t) => {
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
	// The gate learns how long the upstream takes.
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
