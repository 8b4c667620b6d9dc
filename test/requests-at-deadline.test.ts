/**
 * Tests of requests at which an upstream is at work when their time ends, on a
 * real node that is stopping and another one that runs them.
 */
import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import type {Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
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

const intervalMs = 60;

/** Time for which the event loop is blocked after each interval by which a busy node is late, ms. */
const busyMs = 25;

const requestCount = 30;

/** Number of requests that have to reach the upstream for the test to tell anything. */
const minRuns = 6;

/** Times that clients give, all shorter than the time-outs of the routes, ms. */
const deadlinesMs = [140, 330, 600, 900];

const requests = [
	{path: '/prices/lamb', method: 'GET'},
	{path: '/orders/lamb', method: 'POST', body: 'lamb'},
	{path: '/photos/lamb', method: 'POST', body: 'a'.repeat(100 * 1024)},
] as const;

function block(durationMs: number): void {
	const endsAt = performance.now() + durationMs;
	while (performance.now() < endsAt) {
		// Keeps the event loop busy.
	}
}

/** What a client saw of its request. */
type Outcome = {
	readonly id: string;
	readonly end: string;
	/** Time that the client had left, ms. */
	readonly leftMs: number;
};

/** Starts a node without an upstream and one whose upstream responds to everything until `hold` is called. */
async function startNodes(t: TestContext) {
	const storeAddress = await startStore(t);
	let isHolding = false;
	const upstream = await startRawUpstream(t, {
		respond({id, socket}: {readonly id: string; readonly socket: Socket}) {
			if (!isHolding) {
				socket.write(formatRawResponse(id));
			}

			return true;
		},
	});
	const far = await startPlatformNode(t, 'abdali-1', storeAddress);
	const near = await startPlatformNode(t, 'abdali-2', storeAddress);
	await announceUpstream(far.settings, upstream.address, {slots: 64});
	await waitUntilServed(near.settings);
	return {
		far,
		near,
		upstream,
		hold() {
			isHolding = true;
		},
	};
}

const cases = [
	{name: 'a stopping node', lateMs: 0},
	{name: 'a stopping node that is busy', lateMs: busyMs},
	{
		name: 'a busy node that stops before the one that runs them',
		lateMs: busyMs,
		isFarStopped: true,
	},
];

for (const {name, lateMs, isFarStopped = false} of cases) {
	// Regression: requests at which their upstream was at work were given up before their client's deadline.
	test(`${name} gives up no running request before its client's deadline`, async (t) => {
		const {far, near, upstream, hold} = await startNodes(t);
		hold();
		const agent = new Agent({keepAlive: true});
		const ends: Array<Promise<Outcome>> = [];

		async function send(number: number): Promise<Outcome> {
			const id = `request-${number}`;
			const {path, ...options} = requests[number % requests.length]!;
			const deadlineMs = deadlinesMs[number % deadlinesMs.length]!;
			const endsAt = performance.now() + deadlineMs;
			const end = await sendRequest(near.settings.callers, path, {
				...options,
				id,
				agent: number % 3 === 0 ? false : agent,
				deadlineMs,
			}).then(({status}) => String(status), String);
			return {id, end, leftMs: endsAt - performance.now()};
		}

		const stopped = near.node.stop();
		for (let number = 0; number < requestCount; number++) {
			ends.push(send(number));
			await sleep(intervalMs);
			block(lateMs);
			if (isFarStopped && upstream.runs.size >= minRuns) {
				void far.node.stop();
			}
		}

		const outcomes = await Promise.all(ends);
		agent.destroy();
		await stopped;
		const givenUp = outcomes.filter(
			({id, leftMs}) => upstream.runs.has(id) && leftMs > 0,
		);
		assert.deepEqual(givenUp, []);
		assert.ok(upstream.runs.size >= minRuns, 'too few requests have run');
	});
}
