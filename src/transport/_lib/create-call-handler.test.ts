import assert from 'node:assert/strict';
import test from 'node:test';
import {createPeerClients} from '../create-peer-client.js';
import {createPeerRouter} from '../create-peer-router.js';
import {createCallHandler} from './create-call-handler.js';
import {startServer} from './start-server.js';

const question = {id: 'a/1', stamp: {epoch: 'e', timeMs: 1}};
const stamp = {epoch: 'e', timeMs: 7};

async function startCallServer(maxBytes: number) {
	const refuseCall = (): never => {
		throw new Error('the test makes no such call');
	};

	const handle = createCallHandler({
		router: createPeerRouter({
			handlePoll: refuseCall,
			handleExchange: refuseCall,
			handleCrashes: refuseCall,
			handleAsk: () => 'fenced',
			handleCancel() {
				// Responds without data.
			},
			handleStamp: () => stamp,
		}),
		maxBytes,
	});
	return startServer('127.0.0.1:0', (request, response) => {
		handle(request, response).catch(() => {
			response.destroy();
		});
	});
}

test('serves the tRPC client', async (t) => {
	const server = await startCallServer(1000);
	const peers = createPeerClients();
	t.after(async () => {
		await peers.stop();
		await server.stop();
	});
	const client = peers.getClient(server.address);

	assert.equal(await client.ask.mutate(question), 'fenced');
	assert.deepEqual(await client.stamp.mutate(), stamp);
	assert.equal(await client.cancel.mutate(question), undefined);
});

/** Sends a call without the tRPC client; returns the status and error code of its response. */
async function sendCall(address: string, path: string, body: string) {
	const response = await fetch(`http://${address}/trpc/${path}`, {
		method: 'POST',
		body,
	});
	const text = await response.text();
	return [response.status, /"code":"(\w+)"/v.exec(text)?.[1]];
}

test('responds to failed calls with status and error code', async (t) => {
	const server = await startCallServer(100);
	t.after(async () => server.stop());
	const {address} = server;

	assert.deepEqual(await sendCall(address, 'ask', '{"id":1}'), [
		400,
		'BAD_REQUEST',
	]);
	assert.deepEqual(await sendCall(address, 'ask', '{"id"'), [
		400,
		'PARSE_ERROR',
	]);
	assert.deepEqual(await sendCall(address, 'ask', 'x'.repeat(101)), [
		413,
		'PAYLOAD_TOO_LARGE',
	]);
	assert.deepEqual(await sendCall(address, 'none', ''), [404, 'NOT_FOUND']);
});
