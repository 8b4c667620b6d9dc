/**
 * Tests of upstreams whose responses have a status outside the range of HTTP
 * (RFC 9110, section 15: 100 to 599), on real nodes and over one hop more. A
 * client must not receive such a response as an answer.
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

const statusLines = [
	'000 Trouble',
	'000',
	`000 ${'x'.repeat(2000)}`,
	'099 Trouble',
	'600 Trouble',
	'999 Trouble',
];

/** Longer than what is buffered of a response, so that it is streamed. */
const longBodyBytes = 300 * 1024;

test('a response with a status outside the range of HTTP is no response', async (t) => {
	const storeAddress = await startStore(t);
	let response: string | undefined;
	const upstream = await startRawUpstream(t, {
		respond({id, socket}) {
			socket.write(response?.replaceAll('ID', id) ?? formatRawResponse(id));
			return true;
		},
	});
	const near = await startPlatformNode(t, 'abdali-1', storeAddress);
	const far = await startPlatformNode(t, 'abdali-2', storeAddress);
	await announceUpstream(near.settings, upstream.address);
	await waitUntilServed(near.settings);
	await waitUntilServed(far.settings);
	const received: string[] = [];
	for (const statusLine of statusLines) {
		for (const bytes of [2, longBodyBytes]) {
			response = [
				`HTTP/1.1 ${statusLine}`,
				'x-boragehitch-request-id: ID',
				'x-boragehitch-response-signature: signed',
				`content-length: ${bytes}`,
				'',
				'x'.repeat(bytes),
			].join('\r\n');
			for (const method of ['GET', 'POST'] as const) {
				for (const {settings} of [near, far]) {
					const {status, headers} = await sendRequest(
						settings.callers,
						'/orders/lamb',
						{
							method,
							...(method === 'POST' && {body: 'lamb'}),
							id: `${received.length}`,
						},
					);
					const isSigned = JSON.stringify(headers).includes('signed');
					received.push(`${status}${isSigned ? ' signed' : ''}`);
				}
			}
		}
	}

	assert.deepEqual([...new Set(received)], ['504']);
});
