import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import test, {type TestContext} from 'node:test';
import {isDeepStrictEqual} from 'node:util';
import {platformOrder, rolledBackStatus} from '../fakes/platform-rollout.js';
import {
	announceUpstream,
	listen,
	readyTimeoutMs,
	sendRequest,
	startPlatformNode,
	startStore,
	waitUntilServed,
} from '../harness/_lib/platform-node.js';
import {createSilentLogger} from '../harness/create-silent-logger.js';
import {pollUntil} from '../harness/poll-until.js';
import {createStoreClient} from '../platform/create-store-client.js';

const orderKey = `rollouts/${platformOrder.service}`;
const rollbackMs = 5000;
const settingsChanges = {
	// The upstreams announce themselves only once.
	announceIntervalMs: 60_000,
	rollout: {exposureRatio: 0.1, exposureSlack: 50, rollbackMs},
};

/** Starts an upstream whose responses all have a status, and counts its requests. */
async function startUpstream(t: TestContext, statusCode: number) {
	const counts = {requests: 0};
	const upstream = createServer((incoming, response) => {
		counts.requests++;
		const id = incoming.headers['x-boragehitch-request-id'];
		response.setHeader('x-boragehitch-response-signature', 'signed');
		response.setHeader('x-boragehitch-request-id', String(id));
		response.statusCode = statusCode;
		response.end();
	});
	return {counts, address: await listen(upstream, t)};
}

// Guards against roll-outs that work only in simulation: versions that nodes do
// not tell apart, orders that are not read, and responses that are not counted.
test('a version whose responses are all 500 gets requests only by an order, and is rolled back', async (t) => {
	const storeAddress = await startStore(t);
	const store = createStoreClient(storeAddress, {
		logger: createSilentLogger(),
	});
	t.after(async () => store.stop());
	const good = await startUpstream(t, 200);
	const bad = await startUpstream(t, 500);
	const [first, second] = await Promise.all(
		['abdali-1', 'abdali-2'].map(async (name) => {
			const {settings} = await startPlatformNode(
				t,
				name,
				storeAddress,
				settingsChanges,
			);
			return settings;
		}),
	);
	const nodes = [first!, second!];

	/** Sends requests to both nodes until a condition holds; returns whether it did in time. */
	async function sendUntil(
		condition: () => Promise<boolean> | boolean,
		timeoutMs: number,
	): Promise<boolean> {
		return pollUntil(async () => {
			const batch = Array.from({length: 10}, () => nodes).flat();
			const answers = batch.map(async ({callers}) =>
				sendRequest(callers, '/prices/lamb'),
			);
			await Promise.all(answers);
			return condition();
		}, timeoutMs);
	}

	/** Sends many requests, for longer than the nodes take to learn of a change. */
	async function sendMany(): Promise<void> {
		const before = good.counts.requests;
		const endAt = performance.now() + 3000;
		const isSent = await sendUntil(
			() => performance.now() > endAt && good.counts.requests - before >= 200,
			readyTimeoutMs,
		);
		assert.ok(isSent, 'the old version did not get the requests');
	}

	await announceUpstream(first!, good.address, {version: 'v1'});
	await Promise.all(nodes.map(async (node) => waitUntilServed(node)));
	await announceUpstream(second!, bad.address, {id: 'i-2', version: 'v2'});
	await sendMany();
	assert.equal(bad.counts.requests, 0, 'requests to v2 without an order');

	await store.writeObject(orderKey, platformOrder, {kind: 'absent'});
	const isRolledBack = await sendUntil(async () => {
		const read = await store.readObject(orderKey);
		return (
			read.kind === 'found' &&
			isDeepStrictEqual(read.object.status, rolledBackStatus)
		);
	}, 55_000);
	assert.ok(isRolledBack, `not rolled back, ${bad.counts.requests} at v2`);
	assert.ok(bad.counts.requests > 0, 'v2 got no request');
	// Nodes learn of it with their next report, and must have stopped within the bound.
	await sendUntil(() => false, rollbackMs);
	const before = bad.counts.requests;
	await sendMany();
	assert.equal(bad.counts.requests, before, 'requests to v2 after roll-back');
});
