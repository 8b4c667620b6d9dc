import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import test from 'node:test';
import {maxCallBytes} from '../protocol/constants.js';
import {startServer} from './_lib/start-server.js';
import {createPeerClients} from './create-peer-client.js';

test('new connections to a slow node do not abort its calls in flight', async (t) => {
	const pendingResponses: ServerResponse[] = [];
	const server = createServer((request, response) => {
		request.resume();
		pendingResponses.push(response);
		server.emit('waiting');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const peers = createPeerClients();
	t.after(async () => {
		await peers.stop();
		server.close();
		server.closeAllConnections();
	});
	const serverAddress = server.address();
	const port = typeof serverAddress === 'object' ? serverAddress!.port : 0;
	const calls: Array<Promise<unknown>> = [];
	for (let count = 0; count < 3; count++) {
		const client = peers.getClient(`127.0.0.1:${port}`, {
			needsNewConnection: true,
		});
		const hasArrived = once(server, 'waiting');
		calls.push(client.stamp.mutate());
		await hasArrived;
	}

	const stamp = {epoch: 'e', timeMs: 7};
	for (const response of pendingResponses) {
		response.setHeader('content-type', 'application/json');
		response.end(JSON.stringify({result: {data: stamp}}));
	}

	assert.deepEqual(await Promise.all(calls), [stamp, stamp, stamp]);
});

test('an answer that is longer than any sound one is not read whole', async (t) => {
	const server = await startServer('127.0.0.1:0', (request, response) => {
		request.resume();
		response.setHeader('content-type', 'application/json');
		response.end(`{"result":{"data":${'['.repeat(maxCallBytes)}`);
	});
	const peers = createPeerClients();
	t.after(async () => {
		await peers.stop();
		await server.stop();
	});
	const client = peers.getClient(server.address);
	await assert.rejects(client.stamp.mutate(), /too long/v);
});
