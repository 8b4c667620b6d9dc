import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import test from 'node:test';
import {createSampleAttempt} from '../../harness/create-sample-attempt.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import type {Attempt} from '../protocol/attempt.js';
import {startServer} from './_lib/start-server.js';
import {startGateTask} from './start-gate-task.js';

const logger = createSilentLogger();

function createAttempt(id: string, stamp: Attempt['stamp']): Attempt {
	return createSampleAttempt({
		id,
		repeatable: false,
		method: 'POST',
		stamp,
	});
}

test('an attempt that is read after its cancellation does not run', async (t) => {
	const gate = startGateTask({logger, now: () => 1000});
	t.after(async () => gate.stop());
	const attempt = createAttempt('late/1', gate.readStamp());

	gate.cancel({id: attempt.id, stamp: attempt.stamp});
	const result = await gate.runAttempt(attempt);

	assert.equal(result.kind, 'not-run');
	assert.equal(result.kind === 'not-run' && result.reason, 'fenced');
});

test('a slot that becomes free after the deadline of a queued attempt is not given to it', async (t) => {
	let at = 1000;
	const gate = startGateTask({logger, now: () => at});
	const held: ServerResponse[] = [];
	const seen: string[] = [];
	const server = await startServer('127.0.0.1:0', (request, response) => {
		seen.push(request.url ?? '');
		held.push(response);
	});
	t.after(async () => {
		await gate.stop();
		await server.stop();
	});
	gate.announce('i-1', {
		team: '',
		service: 'registry',
		address: server.address,
		slots: 1,
		connections: 4,
		state: 'ready',
	});
	const first = gate.runAttempt(createAttempt('a/1', gate.readStamp()));
	await once(server.server, 'request');
	const second = gate.runAttempt(createAttempt('b/1', gate.readStamp()));

	at += 600;
	held[0]?.end('done');
	await first;
	const result = await second;

	assert.equal(result.kind, 'not-run');
	assert.equal(seen.length, 1);
});
