/**
 * Tests of what the gate does at the deadline of an attempt.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import test, {type TestContext} from 'node:test';
import {createSampleAttempt} from '../../harness/create-sample-attempt.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {waitForTurns} from './_lib/wait-for-turns.js';
import {startGateTask} from './start-gate-task.js';

const remainingMs = 20_000;

/** Event loop turns after which the gate would have aborted an attempt whose timer has fired. */
const turnsToAbort = 20;

/** Sends an attempt to an upstream that does not respond; the test moves the timers. */
async function startAttempt(t: TestContext) {
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
	const ended = gate.runAttempt(
		createSampleAttempt({remainingMs, stamp: gate.readStamp()}),
	);
	return {ended, response: await arrived};
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

test('an attempt whose upstream does not stop at its deadline is aborted', async (t) => {
	const {ended} = await startAttempt(t);
	t.mock.timers.tick(remainingMs + 10);
	const result = await ended;
	assert.equal(result.kind, 'unknown');
});
