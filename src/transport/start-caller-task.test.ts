import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {request as startRequest} from 'node:http';
import test, {type TestContext} from 'node:test';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {createSampleRoute} from '../../harness/create-sample-route.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import type {Attempt, ForwardResult} from '../protocol/attempt.js';
import {createForwarder, type Forwarder} from './create-forwarder.js';
import {defaultEdge} from './default-edge.js';
import {waitForTurns} from './_lib/wait-for-turns.js';
import {startCallerTask} from './start-caller-task.js';
import {startGateTask} from './start-gate-task.js';

const logger = createSilentLogger();

/** Time that clients give, ms. */
const deadlineMs = 400;

/** Event loop turns after which a request whose deadline timer has fired has ended. */
const turnsToEnd = 20;

const answered: ForwardResult = {
	kind: 'answered',
	status: 200,
	headers: {},
	body: new Uint8Array(),
	load: undefined,
	stamp: undefined,
};

/** Sends a request for prices and returns the status of the response. */
async function callPrices(
	address: string,
	body = new Uint8Array(),
): Promise<number | undefined> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		const request = startRequest(
			{
				host,
				port,
				path: '/a/',
				method: body.length > 0 ? 'POST' : 'GET',
				headers: {host: 'prices.example'},
			},
			(response) => {
				response.resume();
				resolve(response.statusCode);
			},
		);
		request.on('error', reject);
		request.end(body);
	});
}

/** Starts the task for callers with one host on another node. */
async function startCaller(
	t: TestContext,
	changes: Partial<Forwarder>,
	readLag = () => 0,
) {
	const forwarder = createForwarder();
	const gate = startGateTask({logger});
	const caller = await startCallerTask({
		name: 'abdali-1',
		dataCentre: 'abdali',
		address: '127.0.0.1:0',
		gate,
		forwarder: {...forwarder, ...changes},
		logger,
		edge: {
			...defaultEdge,
			readCallerParameters: (headers) => ({
				...defaultEdge.readCallerParameters(headers),
				deadlineMs,
			}),
		},
		readLag,
		now: () => 1000,
	});
	t.after(async () => {
		await Promise.all([caller.stop(), forwarder.stop(), gate.stop()]);
	});
	caller.updateRoutes({
		kind: 'document',
		document: {version: 1, routes: [createSampleRoute('a')], services: {}},
	});
	const member = createSampleMember({name: 'abdali-2'});
	const {name: host, address, dataCentre} = member;
	caller.updateMembers({
		self: createSampleMember(),
		members: [member],
		candidates: new Map([
			['pricebook', [{host, address, dataCentre, slots: 6, sinceMs: 0}]],
		]),
	});
	return caller;
}

test('a node with event loop lag does not wait for a response beyond the deadline of its client', async (t) => {
	let lagMs = 0;
	const attempts: Attempt[] = [];
	const caller = await startCaller(
		t,
		{
			async forwardAttempt(_address, attempt) {
				attempts.push(attempt);
				return answered;
			},
		},
		() => lagMs,
	);

	assert.equal(await callPrices(caller.address), 200);
	lagMs = 120;
	assert.equal(await callPrices(caller.address), 200);
	const [onTime, late] = attempts.map(({remainingMs}) => remainingMs);
	assert.ok(onTime! > 300 && onTime! <= 400);
	assert.equal(late, onTime! - 120);
});

// The gate would read the whole body before it refuses the attempt.
test('a long body is sent with a stamp of its gate', async (t) => {
	const stamps: Array<Attempt['stamp']> = [];
	const stamp = {epoch: 'a', timeMs: 500};
	const caller = await startCaller(t, {
		readStamp: async () => stamp,
		async forwardAttempt(_address, attempt) {
			stamps.push(attempt.stamp);
			return answered;
		},
	});

	const {address} = caller;
	assert.equal(await callPrices(address, Buffer.alloc(100)), 200);
	assert.equal(await callPrices(address, Buffer.alloc(60_000)), 200);
	assert.deepEqual(stamps, [undefined, stamp]);
});

/** Sends a request whose attempt a gate runs until the test responds; the test moves the timers. */
async function startHeldRequest(t: TestContext, lagMs: number) {
	const held: Array<(result: ForwardResult) => void> = [];
	const caller = await startCaller(
		t,
		{
			async forwardAttempt(_address, {onSend}) {
				onSend?.();
				return new Promise((resolve) => {
					held.push(resolve);
				});
			},
		},
		() => lagMs,
	);
	t.mock.timers.enable({apis: ['setTimeout']});
	const status = callPrices(caller.address);
	while (held.length === 0) {
		await waitForTurns(1);
	}

	return {status, respond: held[0]!};
}

for (const lagMs of [0, 120]) {
	// Regression: a stopping node gave up a request by its estimate of the deadline while its upstream was at work.
	test(`with a lag of ${lagMs} ms, a response that comes right before the deadline of its client is delivered`, async (t) => {
		const {status, respond} = await startHeldRequest(t, lagMs);
		t.mock.timers.tick(deadlineMs - 2);
		await waitForTurns(turnsToEnd);
		respond(answered);
		assert.equal(await status, 200);
	});

	test(`with a lag of ${lagMs} ms, a request that an upstream does not answer ends at the deadline of its client`, async (t) => {
		const {status} = await startHeldRequest(t, lagMs);
		t.mock.timers.tick(deadlineMs + 1);
		assert.equal(await status, 504);
	});
}
