/**
 * Tests of requests that come late in the grace period of a planned stop, on
 * real nodes of which one is busy.
 */
import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
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

const intervalMs = 80;

/** Time for which the event loop is blocked after each interval, ms. */
const busyMs = 30;

const graceMs = 6000;

/** Longest time of a request at the upstream, ms. */
const maxServiceMs = 2600;

const requests = [
	{path: '/orders/lamb', method: 'POST', body: 'lamb'},
	{path: '/photos/lamb', method: 'POST', body: 'a'.repeat(700 * 1024)},
	{path: '/prices/lamb', method: 'GET'},
] as const;

function block(durationMs: number): void {
	const endsAt = performance.now() + durationMs;
	while (performance.now() < endsAt) {
		// Keeps the event loop busy.
	}
}

test('requests that come late in the grace period are answered or refused, never cut', async (t) => {
	const storeAddress = await startStore(t);
	let isSlow = false;
	let arrivals = 0;
	const upstream = await startRawUpstream(t, {
		respond({id, socket}) {
			arrivals++;
			const serviceMs = isSlow ? (arrivals * 370) % maxServiceMs : 0;
			setTimeout(() => {
				socket.write(formatRawResponse(id));
			}, serviceMs);
			return true;
		},
	});
	const far = await startPlatformNode(t, 'abdali-1', storeAddress, {graceMs});
	const near = await startPlatformNode(t, 'abdali-2', storeAddress, {graceMs});
	await announceUpstream(far.settings, upstream.address, {slots: 64});
	await waitUntilServed(near.settings);
	isSlow = true;
	const agent = new Agent({keepAlive: true});
	const ends: Array<Promise<{readonly id: string; readonly end: string}>> = [];

	async function send(number: number): Promise<{id: string; end: string}> {
		const id = `request-${number}`;
		const {path, ...options} = requests[number % requests.length]!;
		try {
			const {status} = await sendRequest(near.settings.callers, path, {
				...options,
				id,
				agent: number % 2 === 0 ? agent : false,
				deadlineMs: 5000,
			});
			return {id, end: String(status)};
		} catch (error) {
			return {id, end: String(error)};
		}
	}

	const stopped = near.node.stop();
	let hasStopped = false;
	void stopped.then(() => {
		hasStopped = true;
	});
	for (let number = 0; number < graceMs / intervalMs; number++) {
		ends.push(send(number));
		await sleep(intervalMs);
		block(busyMs);
		if (hasStopped) {
			break;
		}
	}

	await stopped;
	agent.destroy();
	const outcomes = await Promise.all(ends);
	const cut = outcomes.filter(
		({id, end}) => upstream.runs.has(id) && !/^\d+$/v.test(end),
	);
	assert.deepEqual(cut, []);
	assert.ok(upstream.runs.size > 10, 'too few requests have run');
});
