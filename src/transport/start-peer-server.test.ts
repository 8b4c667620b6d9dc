import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import test from 'node:test';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import type {Attempt} from '../protocol/attempt.js';
import {createForwarder} from './create-forwarder.js';
import {startGateTask} from './start-gate-task.js';
import {startPeerServer} from './start-peer-server.js';

const logger = createSilentLogger();

const refuseCall = (): never => {
	throw new Error('the test makes no such call');
};

test('a late node does not send on what may have waited past its deadline', async (t) => {
	let lagMs = 0;
	let runs = 0;
	const upstream = createServer((_request, response) => {
		runs++;
		response.end('done');
	}).listen(0, '127.0.0.1');
	await once(upstream, 'listening');
	const bound = upstream.address();
	const port = typeof bound === 'object' ? bound?.port : 0;
	const gate = startGateTask({logger});
	gate.announce('i-1', {
		team: '',
		service: 'registry',
		address: `127.0.0.1:${port}`,
		slots: 1,
		connections: 4,
		state: 'ready',
	});
	const server = await startPeerServer({
		address: '127.0.0.1:0',
		gate,
		logger,
		readLag: () => lagMs,
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
		upstream.close();
		upstream.closeAllConnections();
	});
	const attempt: Attempt = {
		id: 'a/1',
		requestId: 'a',
		team: '',
		service: 'registry',
		repeatable: true,
		sheddingMeansNotRun: true,
		method: 'GET',
		path: '/valves',
		headers: {},
		body: new Uint8Array(),
		depth: 0,
		key: undefined,
		traceparent: undefined,
		remainingMs: 5000,
		stamp: gate.readStamp(),
		signal: new AbortController().signal,
	};

	const inTime = await forwarder.forwardAttempt(server.address, attempt);
	assert.equal(inTime.kind, 'answered');

	lagMs = 6000;
	const late = {...attempt, id: 'a/2', stamp: gate.readStamp()};
	const result = await forwarder.forwardAttempt(server.address, late);
	assert.equal(result.kind, 'not-run');
	assert.equal(runs, 1);
});
