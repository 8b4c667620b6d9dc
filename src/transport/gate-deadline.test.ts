/**
 * Tests of what the gate does at the deadline of an attempt.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import test, {type TestContext} from 'node:test';
import {createSampleAttempt} from '../../harness/create-sample-attempt.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import type {Attempt} from '../protocol/attempt.js';
import {createCancelSource} from './_lib/create-cancel-source.js';
import {waitForTurns} from './_lib/wait-for-turns.js';
import {startGateTask} from './start-gate-task.js';

const remainingMs = 20_000;

/** Longest time for which an upstream may work on after its client has left, ms. */
const maxLateMs = 500;

/** Event loop turns after which the gate would have aborted an attempt whose timer has fired. */
const turnsToAbort = 20;

/** Sends an attempt to an upstream that does not respond; the test moves the timers. */
async function startAttempt(t: TestContext, changes: Partial<Attempt> = {}) {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	const gate = startGateTask({logger: createSilentLogger()});
	t.after(async () => {
		server.close();
		server.closeAllConnections();
		await gate.stop();
	});
	gate.announce('i-1', {
		team: '',
		service: 'registry',
		address: `127.0.0.1:${typeof bound === 'object' ? bound?.port : 0}`,
		incarnation: 5,
		sequence: 1,
		slots: 6,
		connections: 10,
		state: 'ready',
	});
	t.mock.timers.enable({apis: ['setTimeout']});
	const arrived = new Promise<ServerResponse>((resolve) => {
		server.once('request', (_request, response) => {
			resolve(response);
		});
	});
	const sender = createCancelSource();
	const ended = gate.runAttempt(
		createSampleAttempt({
			remainingMs,
			stamp: gate.readStamp(),
			signal: sender.signal,
			...changes,
		}),
	);
	return {gate, ended, sender, response: await arrived};
}

// Regression: the gate closed the connection in the moment in which the upstream stated that it had stopped.
test('an upstream that stops at its deadline may still say so', async (t) => {
	const {ended, response} = await startAttempt(t);
	t.mock.timers.tick(remainingMs);
	await waitForTurns(turnsToAbort);
	response.writeHead(504);
	response.end();
	const result = await ended;
	assert.equal(result.kind === 'answered' && result.status, 504);
});

// Regression: the gate gave up an attempt, before the deadline of its client, whose upstream responded late.
test('the response of a busy upstream after its deadline is passed on', async (t) => {
	const {ended, response} = await startAttempt(t);
	t.mock.timers.tick(remainingMs + 200);
	await waitForTurns(turnsToAbort);
	response.writeHead(504);
	response.end();
	const result = await ended;
	assert.equal(result.kind === 'answered' && result.status, 504);
});

// Regression: the second of two requests with one key was given up before the deadline of its client.
test('a late response is passed on to all that wait for it', async (t) => {
	const {gate, ended, response} = await startAttempt(t, {
		repeatable: false,
		key: 'lamb',
	});
	const {signal} = createCancelSource();
	const joined = gate.runAttempt(
		createSampleAttempt({id: 'b/1', key: 'lamb', remainingMs, signal}),
	);
	const fetched = gate.fetchAnswer('a/1', remainingMs, signal);
	t.mock.timers.tick(remainingMs + 200);
	await waitForTurns(turnsToAbort);
	response.end('done');
	for (const result of await Promise.all([ended, joined, fetched])) {
		assert.equal(result.kind, 'answered');
	}
});

test('an attempt is aborted after its deadline as soon as its sender no longer waits', async (t) => {
	const {ended, sender} = await startAttempt(t);
	t.mock.timers.tick(remainingMs + 10);
	sender.abort();
	const result = await ended;
	assert.equal(result.kind !== 'answered' && result.reason, 'cancelled');
});

test('an attempt whose upstream does not stop at its deadline is aborted', async (t) => {
	const {ended} = await startAttempt(t);
	t.mock.timers.tick(remainingMs + maxLateMs);
	const result = await ended;
	assert.equal(result.kind, 'unknown');
});
