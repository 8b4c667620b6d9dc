import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import test from 'node:test';
import {createPeerClients} from './create-peer-client.js';

test('new connections to a slow node do not cut the calls that it still answers', async (t) => {
	const waiting: ServerResponse[] = [];
	const server = createServer((request, response) => {
		request.resume();
		waiting.push(response);
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
	const bound = server.address();
	const port = typeof bound === 'object' ? bound!.port : 0;
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
	for (const response of waiting) {
		response.setHeader('content-type', 'application/json');
		response.end(JSON.stringify({result: {data: stamp}}));
	}

	assert.deepEqual(await Promise.all(calls), [stamp, stamp, stamp]);
});
