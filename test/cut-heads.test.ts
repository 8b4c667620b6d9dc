/**
 * Tests of upstreams whose connections end in the middle of a response head, on
 * real nodes and over one hop more.
 */
import assert from 'node:assert/strict';
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
} from '../harness/_lib/raw-upstream.js';

const cutHeads = [
	'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n',
	'HTTP/1.1 200 OK\r\ncontent-length: 0',
	'HTTP/1.1 200 OK\r\nx-boragehitch-request-id: ID\r\nx-boragehitch-response-signature: signed\r\ncontent-length: 0\r\n',
	'HTTP/1.1 200 OK\r\nx-boragehitch-request-id: ID\r\nx-boragehitch-resp',
	'HTTP/1.1 20',
	'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n',
];

for (const end of ['close', 'reset'] as const) {
	for (const respondsEarly of [false, true]) {
		const moment = respondsEarly ? 'while the body is sent' : 'after the body';
		test(`a head that is cut by a ${end} ${moment} is no response`, async (t) => {
			const storeAddress = await startStore(t);
			let cutHead: string | undefined;
			const upstream = await startRawUpstream(t, {
				respondsEarly,
				respond({id, socket}) {
					if (cutHead === undefined) {
						socket.write(formatRawResponse(id));
						return true;
					}

					socket.write(cutHead.replace('ID', id), () => {
						if (end === 'close') {
							socket.end();
						} else {
							socket.resetAndDestroy();
						}
					});
					return true;
				},
			});
			const near = await startPlatformNode(t, 'abdali-1', storeAddress);
			const far = await startPlatformNode(t, 'abdali-2', storeAddress);
			await announceUpstream(near.settings, upstream.address);
			await waitUntilServed(near.settings);
			await waitUntilServed(far.settings);
			const statuses = [];
			for (const [index, head] of cutHeads.entries()) {
				cutHead = head;
				for (const {settings} of [near, far]) {
					// A body longer than the buffers is still being sent when the response comes.
					const {status} = await sendRequest(settings.callers, '/orders/lamb', {
						method: 'POST',
						body: respondsEarly ? 'a'.repeat(900 * 1024) : `lamb ${index}`,
						id: `${settings.name}-${index}`,
					});
					statuses.push(status);
				}
			}

			assert.deepEqual(
				statuses.filter((status) => status !== 504),
				[],
			);
		});
	}
}
