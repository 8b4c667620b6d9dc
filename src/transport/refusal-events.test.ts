/**
 * Tests of what nodes report about requests and attempts that they refuse
 * before they are admitted.
 */
import assert from 'node:assert/strict';
import {request as startRequest} from 'node:http';
import test, {type TestContext} from 'node:test';
import {createSampleRoute} from '../../harness/create-sample-route.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {startHeldGate} from '../../harness/start-held-gate.js';
import type {RefusalEvent} from '../protocol/observer.js';
import {deadlineHeader} from '../protocol/request.js';
import {createForwarder} from './create-forwarder.js';
import {startCallerTask} from './start-caller-task.js';
import {startGateTask} from './start-gate-task.js';

const logger = createSilentLogger();

const route = 'valves';

/** Deadline that clients give to a first request, ms. */
const deadlineMs = 800;

/** Starts a caller's node without hosts and records what it reports as refused. */
async function startCaller(t: TestContext, readLag: () => number) {
	const events: RefusalEvent[] = [];
	const returned: boolean[] = [];
	const forwarder = createForwarder();
	const gate = startGateTask({logger});
	const caller = await startCallerTask({
		name: 'abdali-1',
		dataCentre: 'abdali',
		address: '127.0.0.1:0',
		gate,
		forwarder,
		logger,
		readLag,
		observer: {
			onRefusal(event) {
				events.push(event);
			},
			onRequest({isReturned}) {
				returned.push(isReturned);
			},
		},
	});
	t.after(async () => {
		await Promise.all([caller.stop(), forwarder.stop(), gate.stop()]);
	});
	caller.updateRoutes({
		kind: 'document',
		document: {version: 1, routes: [createSampleRoute('a')], services: {}},
	});
	return {
		events,
		returned,
		/** Sends a request with so much time left and returns the status of the response. */
		async call(path: string, leftMs: number): Promise<number | undefined> {
			const [host, port] = caller.address.split(':');
			return new Promise((resolve, reject) => {
				const request = startRequest(
					{
						host,
						port,
						path,
						headers: {
							host: 'prices.example',
							[deadlineHeader]: String(leftMs),
						},
					},
					(response) => {
						response.resume();
						resolve(response.statusCode);
					},
				);
				request.on('error', reject);
				request.end();
			});
		},
	};
}

test('a late node reports what it refuses, and whether the client had sent it before', async (t) => {
	let lagMs = 0;
	const {events, returned, call} = await startCaller(t, () => lagMs);
	for (const leftMs of [deadlineMs, deadlineMs, 300]) {
		assert.equal(await call('/a/', leftMs), 503);
	}

	assert.deepEqual(returned, [false, false, true]);
	assert.deepEqual(events, []);

	lagMs = 500;
	assert.equal(await call('/a/', deadlineMs), 503);
	assert.equal(await call('/a/', 300), 503);
	assert.equal(await call('/b/', deadlineMs), 404);
	const refusal: RefusalEvent = {
		place: 'caller',
		route: 'a',
		reason: 'overloaded',
		isReturned: false,
		hasFreeSlot: undefined,
	};
	assert.deepEqual(events, [
		refusal,
		{...refusal, isReturned: true},
		{...refusal, route: undefined, reason: 'no-route', isReturned: undefined},
	]);
	assert.equal(returned.length, 3);
});

test('a gate reports what it refuses before admission, and whether it had a free slot', async (t) => {
	const events: RefusalEvent[] = [];
	let lagMs = 0;
	const {run, waitUntilHeld, answer} = await startHeldGate(
		t,
		{slots: 1},
		{
			readLag: () => lagMs,
			observer: {
				onRefusal(event) {
					events.push(event);
				},
			},
		},
	);
	const refusal: RefusalEvent = {
		place: 'gate',
		route,
		reason: 'stale-stamp',
		isReturned: undefined,
		hasFreeSlot: undefined,
	};
	await run({route, stamp: undefined, repeatable: false});
	assert.deepEqual(events, [refusal]);

	lagMs = 500;
	await run({route});
	assert.deepEqual(events.slice(1), [{...refusal, reason: 'overloaded'}]);

	lagMs = 0;
	const admitted = run({route});
	await waitUntilHeld(1);
	assert.equal(events.length, 2);
	answer();
	await admitted;
	assert.equal(events.length, 2);
});

test('a refusal for want of slots says whether one was free', async (t) => {
	const slotsFree: Array<boolean | undefined> = [];
	const {run, held, waitUntilHeld, answer, advance} = await startHeldGate(
		t,
		{slots: 1},
		{
			observer: {
				onRefusal({reason, hasFreeSlot}) {
					assert.equal(reason, 'saturated');
					slotsFree.push(hasFreeSlot);
				},
			},
		},
	);
	// The gate measures the service time of the upstream.
	const first = run({route});
	await waitUntilHeld(1);
	advance(100);
	answer();
	await first;

	const results = [];
	for (let count = 0; count < 16; count++) {
		results.push(run({route}));
	}

	await waitUntilHeld(1);
	assert.ok(slotsFree.length > 0);
	assert.ok(slotsFree.every((isFree) => isFree === false));
	for (let count = slotsFree.length; count < results.length; count++) {
		await waitUntilHeld(1);
		answer();
	}

	await Promise.all(results);
	assert.equal(held.length, 0);

	await run({route, objectiveMs: 1, remainingMs: 2000});
	assert.equal(slotsFree.at(-1), true);
});
