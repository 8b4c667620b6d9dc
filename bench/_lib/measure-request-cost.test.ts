import assert from 'node:assert/strict';
import {createServer, type RequestListener} from 'node:http';
import test, {type TestContext} from 'node:test';
import {closeServer, listenOn} from '../../fakes/json-http.js';
import {measureRequestCost} from './measure-request-cost.js';

const load = {kind: 'served', rate: 1000, seconds: 0.04} as const;

/** Starts a server in place of a pair of forwarders. */
async function startPair(t: TestContext, listener: RequestListener) {
	const server = createServer(listener);
	const url = await listenOn(server, '127.0.0.1', 0);
	t.after(async () => {
		server.closeAllConnections();
		await closeServer(server);
	});
	return {
		processes: [],
		address: new URL(url).host,
		stop: async () => closeServer(server),
	};
}

test('accepts the answers that requests of a kind get', async (t) => {
	const pair = await startPair(t, (_request, response) => {
		response.end();
	});
	assert.deepEqual(await measureRequestCost('node', pair, load), []);
});

test('fails when requests have another answer', async (t) => {
	const pair = await startPair(t, (_request, response) => {
		response.statusCode = 503;
		response.setHeader('boragehitch-reason', 'overloaded');
		response.end();
	});
	await assert.rejects(
		measureRequestCost('node', pair, load),
		/node, served: 40 of 40 requests .* 200: 503 overloaded \(40\)/v,
	);
});

test('fails when answers are missing', async (t) => {
	let count = 0;
	const pair = await startPair(t, (request, response) => {
		count++;
		if (count % 10 === 0) {
			request.socket.destroy();
		} else {
			response.end();
		}
	});
	await assert.rejects(
		measureRequestCost('node', pair, load),
		/[4-9] of 40 requests were not answered/v,
	);
});
