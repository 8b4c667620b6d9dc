/**
 * Tests of upstreams that write an earlier refusal once more on a kept
 * connection, on real nodes.
 */
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import test from 'node:test';
import {
	announceUpstream,
	sendRequest,
	startPlatformNode,
	startStore,
	waitUntilServed,
} from '../harness/_lib/platform-node.js';
import {
	formatRawResponse,
	startRawUpstream,
	type RawRequest,
	type RawUpstream,
} from '../harness/_lib/raw-upstream.js';

/** Requests of the clients. */
const requestCount = 60;

/** Statuses that say that a request has not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** How an upstream refuses, and whether its refusal names the request. */
type Refusal = {readonly status: 503 | 429 | 421; readonly hasId: boolean};

function formatRefusal({status, hasId}: Refusal, id: string): string {
	const idLine = hasId ? `x-boragehitch-request-id: ${id}\r\n` : '';
	return `HTTP/1.1 ${status} Refused\r\nx-boragehitch-not-executed: 1\r\n${idLine}content-length: 0\r\n\r\n`;
}

/** Creates a responder that can be told to refuse the first request of each connection, and to answer each later one with that refusal while it runs it. */
function createResponder() {
	const refusals = new Map<Socket, string>();
	let refusal: Refusal | undefined;
	return {
		respond({id, socket}: RawRequest): boolean {
			const earlier = refusals.get(socket);
			if (refusal && earlier === undefined) {
				const text = formatRefusal(refusal, id);
				refusals.set(socket, text);
				socket.write(text);
				return false;
			}

			socket.write(earlier ?? formatRawResponse(id));
			return true;
		},
		break(next: Refusal) {
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
	const text = `${refusal.status} ${refusal.hasId ? '' : 'without an id '}`;
	test(`an earlier ${text}that is written again says nothing of a later request`, async (t) => {
		const storeAddress = await startStore(t);
		const responder = createResponder();
		const upstreams: RawUpstream[] = [];
		const nodes = [];
		for (const name of ['abdali-1', 'abdali-2']) {
			const upstream = await startRawUpstream(t, responder);
			const {settings} = await startPlatformNode(t, name, storeAddress);
			await announceUpstream(settings, upstream.address, {id: name});
			upstreams.push(upstream);
			nodes.push(settings);
		}

		for (const settings of nodes) {
			await waitUntilServed(settings);
		}

		responder.break(refusal);
		const countRuns = (id: string): number =>
			upstreams.reduce((sum, {runs}) => sum + (runs.get(id) ?? 0), 0);
		const falseRefusals: string[] = [];
		const repeated: string[] = [];
		for (let number = 0; number < requestCount; number++) {
			const id = `order-${number}`;
			const {status} = await sendRequest(
				nodes[number % nodes.length]!.callers,
				'/orders/lamb',
				{method: 'POST', body: 'lamb', id},
			);
			if (countRuns(id) > 0 && notRunStatuses.has(status)) {
				falseRefusals.push(id);
			}

			if (countRuns(id) > 1) {
				repeated.push(id);
			}
		}

		assert.deepEqual(
			{falseRefusals, repeated},
			{falseRefusals: [], repeated: []},
		);
	});
}
