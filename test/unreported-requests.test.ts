/**
 * Tests of requests that their upstream answers although its load reports do
 * not count them, on real nodes.
 */
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	announceUpstream,
	readMetrics,
	readyTimeoutMs,
	sendRequest,
	startPlatformNode,
	startStore,
	waitUntilServed,
} from '../harness/_lib/platform-node.js';
import {
	formatRawResponse,
	startRawUpstream,
	type RawRequest,
} from '../harness/_lib/raw-upstream.js';
import {pollUntil} from '../harness/poll-until.js';

/** Time for which the upstream works on the request that its reports leave out, ms; within the time-out of the route. */
const slowMs = 600;

const reportIntervalMs = 20;

const slowId = 'slow';

/** Longest time until an attempt is cancelled after another one was answered, ms. */
const maxCancelMs = 500;

/** Formats a response that reports no work but its own request. */
function formatReportingResponse(id: string): string {
	return formatRawResponse(id).replace(
		'\r\n',
		'\r\nx-boragehitch-server-load: 1,0,6\r\n',
	);
}

/** Starts two nodes and an upstream beside the first, whose reports never count the slow request. */
async function start(t: TestContext) {
	const storeAddress = await startStore(t);
	const upstream = await startRawUpstream(t, {
		respond({id, head, socket}) {
			const isSlow = head.startsWith('GET /prices/slow');
			const response = formatReportingResponse(id);
			setTimeout(
				() => {
					socket.write(response);
				},
				isSlow ? slowMs : 0,
			);
			return true;
		},
	});
	const near = await startPlatformNode(t, 'abdali-1', storeAddress);
	const far = await startPlatformNode(t, 'abdali-2', storeAddress);
	await announceUpstream(near.settings, upstream.address);
	await waitUntilServed(far.settings);
	await waitUntilServed(near.settings);

	/** Sends the slow request to a node, and others until it has ended. */
	async function sendSlow(node: typeof near, shouldStop: boolean) {
		const slow = sendRequest(node.settings.callers, '/prices/slow', {
			id: slowId,
		});
		const progress = {hasEnded: false};
		void slow.finally(() => {
			progress.hasEnded = true;
		});
		await sleep(reportIntervalMs);
		const other = node === near ? far : near;
		const stopped = shouldStop ? node.node.stop() : undefined;
		while (!progress.hasEnded) {
			await sendRequest(other.settings.callers, '/prices/quick');
			await sleep(reportIntervalMs);
		}

		await stopped;
		const {status} = await slow;
		return status;
	}

	return {near, far, sendSlow};
}

// Regression: a request that the upstream was working on was ended with 504, as its reports did not count it.
for (const place of ['near', 'far'] as const) {
	test(`a request that load reports leave out is answered by its upstream, ${place} node`, async (t) => {
		const nodes = await start(t);
		assert.equal(await nodes.sendSlow(nodes[place], false), 200);
	});
}

test('a stopping node delivers the answer to a request that load reports leave out', async (t) => {
	const {far, sendSlow} = await start(t);
	assert.equal(await sendSlow(far, true), 200);
});

test('a request that its upstream has dropped is answered by another host, and its connection closed', async (t) => {
	const storeAddress = await startStore(t);
	let dropped: RawRequest | undefined;
	const respond = (sent: RawRequest): boolean => {
		const {id, head, socket} = sent;
		if (head.startsWith('GET /prices/slow') && !dropped) {
			dropped = sent;
			return true;
		}

		socket.write(formatReportingResponse(id));
		return true;
	};

	const nodes: Array<Awaited<ReturnType<typeof startPlatformNode>>> = [];
	for (const number of [1, 2]) {
		const upstream = await startRawUpstream(t, {respond});
		const node = await startPlatformNode(t, `abdali-${number}`, storeAddress);
		await announceUpstream(node.settings, upstream.address, {
			id: `i-${number}`,
		});
		await waitUntilServed(node.settings);
		nodes.push(node);
	}

	const knowsBoth = await pollUntil(
		async () =>
			/^boragehitch_members 2$/mv.test(await readMetrics(nodes[0]!.settings)),
		readyTimeoutMs,
	);
	assert.ok(knowsBoth);
	const slow = {hasEnded: false};
	const sent = sendRequest(nodes[0]!.settings.callers, '/prices/slow', {
		id: slowId,
	}).finally(() => {
		slow.hasEnded = true;
	});
	while (!slow.hasEnded) {
		await Promise.all(
			nodes.map(async ({settings}) =>
				sendRequest(settings.callers, '/prices/quick'),
			),
		);
		await sleep(reportIntervalMs);
	}

	const {status} = await sent;
	assert.equal(status, 200);
	const isClosed = await pollUntil(
		async () => dropped!.socket.destroyed || dropped!.socket.readableEnded,
		maxCancelMs,
	);
	assert.ok(isClosed, 'the attempt without an answer was not cancelled');
});
