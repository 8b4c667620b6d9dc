/**
 * Tests of texts and numbers of others that Node.js refuses to send, on real
 * nodes: none ends a process, and requests are served.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {request} from 'node:http';
import process from 'node:process';
import test, {type TestContext} from 'node:test';
import {platformDocument} from '../fakes/platform-document.js';
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
} from '../harness/_lib/raw-upstream.js';
import {recordUnhandled} from '../harness/record-unhandled.js';

const cases = [
	{routeName: 'prices\u20AC', service: 'payables', sent: 'payables'},
	{routeName: 'line\nbreak', service: 'payables', sent: 'payables'},
	{routeName: 'prices', service: 'payables\u20AC', sent: 'payables%E2%82%AC'},
	{routeName: '\uD800', service: '\uD800', sent: '%EF%BF%BD'},
];

const serviceLine = /^x-boragehitch-caller-service: (?<name>.*)$/imv;

/** Starts an upstream on the host of one of two nodes; both have the names given. */
async function start(
	t: TestContext,
	{routeName, service}: {readonly routeName: string; readonly service: string},
) {
	const [route, ...others] = platformDocument.resources;
	const resources = [{...route, metadata: {name: routeName}}, ...others];
	const store = await startStore(t, {...platformDocument, resources});
	const heads: string[] = [];
	const upstream = await startRawUpstream(t, {
		respond({id, head, socket}) {
			heads.push(head);
			return socket.write(formatRawResponse(id));
		},
	});
	const near = await startPlatformNode(t, 'abdali-1', store, {service});
	const far = await startPlatformNode(t, 'abdali-2', store, {service});
	await announceUpstream(near.settings, upstream.address);
	return {nodes: [near, far], heads};
}

for (const {routeName, service, sent} of cases) {
	// Regression: each request ended the process that was to send it.
	test(`requests of the service ${JSON.stringify(service)} on the route ${JSON.stringify(routeName)} are served, at the gate and through another node`, async (t) => {
		const unhandled = recordUnhandled(t);
		const {nodes, heads} = await start(t, {routeName, service});
		for (const {settings} of nodes) {
			await waitUntilServed(settings);
			assert.deepEqual(unhandled, []);
		}

		const names = new Set(
			heads.map((head) => serviceLine.exec(head)?.groups?.name),
		);
		assert.deepEqual([...names], [sent]);
	});
}

/** Sends a node a record of a member whose address has a port that no server can have. */
async function sendOddRecord(peers: string): Promise<void> {
	const [host, port] = peers.split(':');
	const incarnation = Date.now();
	const announced = {
		id: 'i-9',
		team: '',
		service: 'pricebook',
		slots: 6,
		state: 'ready',
		ageMs: 5000,
	};
	const record = {
		name: 'odd-1',
		dataCentre: 'abdali',
		address: '127.0.0.1:99999',
		incarnation,
		sequence: 1,
		state: 'alive',
		upstreams: [announced],
	};
	const from = {
		name: 'other-1',
		dataCentre: 'abdali',
		address: '127.0.0.1:9',
		incarnation,
		sequence: 1,
		startedMs: incarnation,
	};
	const sent = request({
		host,
		port,
		method: 'POST',
		path: '/trpc/exchange',
		headers: {'content-type': 'application/json'},
	});
	sent.end(JSON.stringify({kind: 'ping', from, records: [record]}));
	sent.on('response', (answer) => {
		answer.resume();
	});
	await once(sent, 'close');
}

// Regression: the first request after the record ended the process.
test('a record of a member with the port 99999 ends no process', async (t) => {
	const unhandled = recordUnhandled(t);
	const store = await startStore(t);
	const {settings} = await startPlatformNode(t, 'abdali-1', store);
	await sendOddRecord(settings.peers);
	for (let sent = 0; sent < 20; sent++) {
		const {status} = await sendRequest(settings.callers, '/prices/lamb', {
			deadlineMs: 200,
			id: `id-${sent}`,
		});
		assert.equal(status, 503);
	}

	assert.deepEqual(unhandled, []);
});
