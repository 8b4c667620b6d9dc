import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {text as readText} from 'node:stream/consumers';
import test, {type TestContext} from 'node:test';
import {createSampleAttempt} from '../../harness/create-sample-attempt.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {startServer} from './_lib/start-server.js';
import {createForwarder} from './create-forwarder.js';
import {startGateTask} from './start-gate-task.js';
import {startPeerServer} from './start-peer-server.js';

const logger = createSilentLogger();

const refuseCall = (): never => {
	throw new Error('the test makes no such call');
};

/** Starts a gate with one upstream behind a peer server that runs late. */
async function startLateGate(t: TestContext, readLag: () => number) {
	const bodies: string[] = [];
	const upstream = await startServer('127.0.0.1:0', (request, response) => {
		void readText(request).then((body) => {
			bodies.push(body);
			response.end('done');
		});
	});
	const gate = startGateTask({logger});
	gate.announce('i-1', {
		team: '',
		service: 'registry',
		address: upstream.address,
		slots: 1,
		connections: 4,
		state: 'ready',
	});
	const server = await startPeerServer({
		address: '127.0.0.1:0',
		gate,
		logger,
		readLag,
		handlers: {
			handlePoll: refuseCall,
			handleExchange: refuseCall,
			handleAsk: gate.ask,
			handleCancel: gate.cancel,
			handleStamp: gate.readStamp,
		},
	});
	const forwarder = createForwarder();
	t.after(async () => {
		await Promise.all([forwarder.stop(), gate.stop(), server.stop()]);
		await upstream.stop();
	});
	return {bodies, gate, server, forwarder};
}

test('a late node does not send on what may have waited past its deadline', async (t) => {
	let lagMs = 0;
	const {bodies, gate, server, forwarder} = await startLateGate(t, () => lagMs);
	const attempt = createSampleAttempt({
		remainingMs: 5000,
		stamp: gate.readStamp(),
	});

	const inTime = await forwarder.forwardAttempt(server.address, attempt);
	assert.equal(inTime.kind, 'answered');

	lagMs = 6000;
	const late = {...attempt, id: 'a/2', stamp: gate.readStamp()};
	const result = await forwarder.forwardAttempt(server.address, late);
	assert.equal(result.kind, 'not-run');
	assert.equal(bodies.length, 1);
});

test('a late node does not take the end of a body for the end of its sender', async (t) => {
	const {bodies, gate, server, forwarder} = await startLateGate(t, () => 60);
	const attempt = createSampleAttempt({
		method: 'POST',
		headers: {'content-length': '5'},
		body: Buffer.from('valve'),
		repeatable: false,
		remainingMs: 5000,
		stamp: gate.readStamp(),
	});

	const result = await forwarder.forwardAttempt(server.address, attempt);
	assert.equal(result.kind, 'answered');
	assert.deepEqual(bodies, ['valve']);
});

test('a call between nodes creates no web request', async (t) => {
	const gate = startGateTask({logger});
	const server = await startPeerServer({
		address: '127.0.0.1:0',
		gate,
		logger,
		handlers: {
			handlePoll: refuseCall,
			handleExchange: refuseCall,
			handleAsk: gate.ask,
			handleCancel: gate.cancel,
			handleStamp: gate.readStamp,
		},
	});
	const forwarder = createForwarder();
	let created = 0;
	t.mock.getter(globalThis, 'Request', () => {
		created++;
		return Object;
	});
	t.after(async () => {
		await Promise.all([forwarder.stop(), gate.stop(), server.stop()]);
	});

	assert.ok(await forwarder.readStamp(server.address));
	assert.equal(created, 0);
});
