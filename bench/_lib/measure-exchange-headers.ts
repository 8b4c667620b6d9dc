import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {Socket} from 'node:net';
import {createCallHandler} from '../../src/transport/_lib/create-call-handler.js';
import {createPeerClients} from '../../src/transport/create-peer-client.js';
import {createPeerRouter} from '../../src/transport/create-peer-router.js';
import type {
	Exchange,
	ExchangeAnswer,
	Sender,
} from '../../src/protocol/member.js';

const calls = 200;
const maxBytes = 10_000;
const from: Sender = {
	name: 'dc-0-host-1',
	dataCentre: 'dc-0',
	address: '10.0.0.1:8081',
	incarnation: 1_700_000_000_000,
	sequence: 4,
	startedMs: 1_700_000_000_000,
};

/**
 * Measures the bytes that a call between nodes puts on its socket besides the
 * bodies, on the product's client and router over a local connection.
 *
 * @returns bytes of a call and its answer, without those of TCP and IP
 * @example
 * await measureExchangeHeaders();
 */
export async function measureExchangeHeaders(): Promise<number> {
	const request: Exchange = {kind: 'ping', from, records: []};
	const answer: ExchangeAnswer = {
		kind: 'ack',
		from,
		records: [],
		needsRecord: false,
	};
	const fail = () => {
		throw new Error('only exchanges are measured');
	};

	const router = createPeerRouter({
		handleExchange: () => answer,
		handlePoll: fail,
		handleCrashes: fail,
		handleAsk: fail,
		handleCancel: fail,
		handleStamp: fail,
	});
	const handleCall = createCallHandler({router, maxBytes});
	const server = createServer((call, response) => {
		void handleCall(call, response);
	});
	const sockets = new Set<Socket>();
	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const port = typeof address === 'object' ? address?.port : undefined;
	const clients = createPeerClients();
	const client = clients.getClient(`127.0.0.1:${port}`);
	for (let call = 0; call < calls; call++) {
		await client.exchange.mutate(request);
	}

	const total = [...sockets].reduce(
		(sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
		0,
	);
	await clients.stop();
	server.close();
	const bodies = Buffer.byteLength(
		JSON.stringify(request) + JSON.stringify(answer),
	);
	return total / calls - bodies;
}
