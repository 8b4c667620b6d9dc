/** Tests of deadlines longer than a timer keeps, on real nodes. */
import assert from 'node:assert/strict';
import test from 'node:test';
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

/** Time-out of all routes, s; more than a timer keeps. */
const timeoutSeconds = 3_000_000;
const responseDelayMs = 100;

// Regression: such requests ended at once, at their deadline.
test('requests whose deadline no timer keeps are served, at the gate and through another node', async (t) => {
	const text = JSON.stringify(platformDocument).replaceAll(
		/"timeout_s":\d+/gv,
		`"timeout_s":${timeoutSeconds}`,
	);
	const store = await startStore(t, JSON.parse(text));
	const upstream = await startRawUpstream(t, {
		respond({id, socket}) {
			setTimeout(() => {
				socket.write(formatRawResponse(id));
			}, responseDelayMs);
			return true;
		},
	});
	const near = await startPlatformNode(t, 'abdali-1', store);
	const far = await startPlatformNode(t, 'abdali-2', store);
	await announceUpstream(near.settings, upstream.address);
	for (const {settings} of [near, far]) {
		await waitUntilServed(settings);
		for (const deadlineMs of [2 ** 31 - 1, 2 ** 31, 2 ** 32]) {
			const {status} = await sendRequest(settings.callers, '/prices/lamb', {
				deadlineMs,
				id: `${settings.name}-${deadlineMs}`,
			});
			assert.equal(status, 200, `${settings.name}, ${deadlineMs} ms`);
		}

		const order = await sendRequest(settings.callers, '/orders/1', {
			method: 'POST',
			body: 'order',
			deadlineMs: 2 ** 32,
			id: `${settings.name}-order`,
		});
		assert.equal(order.status, 200, settings.name);
	}
});
