import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import test from 'node:test';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import type {Attempt} from '../protocol/attempt.js';
import {startGateTask} from './start-gate-task.js';

const logger = createSilentLogger();

function createAttempt(id: string, stamp: Attempt['stamp']): Attempt {
	return {
		id,
		requestId: id,
		team: '',
		service: 'registry',
		repeatable: false,
		sheddingMeansNotRun: true,
		method: 'POST',
		path: '/tests',
		headers: {},
		body: new Uint8Array(),
		depth: 0,
		key: undefined,
		traceparent: undefined,
		remainingMs: 500,
		stamp,
		signal: new AbortController().signal,
	};
}

test('an attempt that is read after its cancelling does not run', async (t) => {
	const gate = startGateTask({logger, now: () => 1000});
	t.after(async () => gate.stop());
	const attempt = createAttempt('late/1', gate.readStamp());

	gate.cancel({id: attempt.id, stamp: attempt.stamp});
	const result = await gate.runAttempt(attempt);

	assert.equal(result.kind, 'not-run');
	assert.equal(result.kind === 'not-run' && result.reason, 'fenced');
});

test('a slot that becomes free late is not given to an expired attempt', async (t) => {
	let at = 1000;
	const gate = startGateTask({logger, now: () => at});
	const held: ServerResponse[] = [];
	const seen: string[] = [];
	const server = createServer((request, response) => {
		seen.push(request.url ?? '');
		held.push(response);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(async () => {
		await gate.stop();
		server.close();
	});
	const bound = server.address();
	const port = typeof bound === 'object' ? bound?.port : 0;
	gate.announce('i-1', {
		team: '',
		service: 'registry',
		address: `127.0.0.1:${port}`,
		slots: 1,
		connections: 4,
		state: 'ready',
	});
	const first = gate.runAttempt(createAttempt('a/1', gate.readStamp()));
	await once(server, 'request');
	const second = gate.runAttempt(createAttempt('b/1', gate.readStamp()));

	at += 600;
	held[0]?.end('done');
	await first;
	const result = await second;

	assert.equal(result.kind, 'not-run');
	assert.equal(seen.length, 1);
});
