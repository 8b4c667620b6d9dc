/**
 * Tests of upstreams that write an earlier refusal once more on a kept
 * connection, on real nodes.
 */
import assert from 'node:assert/strict';
import {createServer, type Socket} from 'node:net';
import {once} from 'node:events';
import test, {type TestContext} from 'node:test';
import {
	announceUpstream,
	sendRequest,
	startPlatformNode,
	startStore,
	waitUntilServed,
} from '../harness/_lib/platform-node.js';

/** Requests of the clients. */
const requestCount = 60;

const idPattern = /^x-boragehitch-request-id: (?<id>\S+)/imv;
const lengthPattern = /^content-length: (?<length>\d+)/imv;

/** How an upstream refuses, and whether its refusal names the request. */
type Refusal = {readonly status: 503 | 429 | 421; readonly hasId: boolean};

/** A started upstream. */
type FaultyUpstream = {
	readonly address: string;
	/** Runs by request id. */
	readonly runs: Map<string, number>;
	/** From now on, refuses the first request of a connection, and then answers each with that refusal while it runs it. */
	break(refusal: Refusal): void;
};

/** Starts an upstream that speaks HTTP by itself, one request at a time on a connection. */
async function startFaultyUpstream(t: TestContext): Promise<FaultyUpstream> {
	const runs = new Map<string, number>();
	const sockets = new Set<Socket>();
	let refusal: Refusal | undefined;
	const server = createServer((socket) => {
		sockets.add(socket);
		socket.on('error', () => {
			// The gate has closed the connection.
		});
		let text = '';
		let firstRefusal: string | undefined;
		socket.on('data', (chunk) => {
			text += String(chunk);
			const headEnd = text.indexOf('\r\n\r\n');
			if (headEnd === -1) {
				return;
			}

			const head = text.slice(0, headEnd);
			const length = Number(lengthPattern.exec(head)?.groups?.length ?? 0);
			if (text.length < headEnd + 4 + length) {
				return;
			}

			text = '';
			const id = idPattern.exec(head)?.groups?.id ?? '';
			if (refusal && firstRefusal === undefined) {
				const {status, hasId} = refusal;
				const idLine = hasId ? `x-boragehitch-request-id: ${id}\r\n` : '';
				firstRefusal = `HTTP/1.1 ${status} Refused\r\nx-boragehitch-not-executed: 1\r\n${idLine}content-length: 0\r\n\r\n`;
				socket.write(firstRefusal);
				return;
			}

			runs.set(id, (runs.get(id) ?? 0) + 1);
			socket.write(
				firstRefusal ??
					`HTTP/1.1 200 OK\r\nx-boragehitch-request-id: ${id}\r\nx-boragehitch-response-signature: signed\r\ncontent-length: 2\r\n\r\nok`,
			);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const bound = server.address();
	return {
		address: `127.0.0.1:${typeof bound === 'object' ? bound?.port : 0}`,
		runs,
		break(next) {
			refusal = next;
		},
	};
}

for (const refusal of [
	{status: 503, hasId: true},
	{status: 503, hasId: false},
	{status: 429, hasId: true},
	{status: 421, hasId: true},
] as const) {
	const {status: refusalStatus, hasId} = refusal;
	test(`an earlier ${refusalStatus} ${hasId ? '' : 'without an id '}that is written again says nothing of a later request`, async (t) => {
		const storeAddress = await startStore(t);
		const upstreams: FaultyUpstream[] = [];
		const nodes = [];
		for (const name of ['abdali-1', 'abdali-2']) {
			const upstream = await startFaultyUpstream(t);
			const {node, settings} = await startPlatformNode(t, name, storeAddress);
			await announceUpstream(settings, upstream.address, {id: name});
			t.after(async () => node.stop());
			upstreams.push(upstream);
			nodes.push(settings);
		}

		for (const settings of nodes) {
			await waitUntilServed(settings);
		}

		for (const upstream of upstreams) {
			upstream.break(refusal);
		}

		const falseRefusals: string[] = [];
		for (let number = 0; number < requestCount; number++) {
			const id = `order-${number}`;
			const {status} = await sendRequest(
				nodes[number % nodes.length]!.callers,
				'/orders/lamb',
				{method: 'POST', body: 'lamb', id},
			);
			const hasRun = upstreams.some(({runs}) => runs.has(id));
			if (hasRun && [408, 421, 429, 503].includes(status)) {
				falseRefusals.push(id);
			}
		}

		assert.deepEqual(falseRefusals, []);
		const repeated = upstreams
			.flatMap(({runs}) => [...runs.keys()])
			.filter(
				(id) =>
					id.startsWith('order') &&
					upstreams.reduce((sum, {runs}) => sum + (runs.get(id) ?? 0), 0) > 1,
			);
		assert.deepEqual(repeated, []);
	});
}
