import assert from 'node:assert/strict';
import {request as startRequest} from 'node:http';
import test from 'node:test';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {createSampleRoute} from '../../harness/create-sample-route.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import type {Attempt} from '../protocol/attempt.js';
import {createForwarder} from './create-forwarder.js';
import {defaultEdge} from './default-edge.js';
import {startCallerTask} from './start-caller-task.js';
import {startGateTask} from './start-gate-task.js';

const logger = createSilentLogger();

/** Sends a request for prices and gives its status. */
async function callPrices(address: string): Promise<number | undefined> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		const request = startRequest(
			{host, port, path: '/a/', headers: {host: 'prices.example'}},
			(response) => {
				response.resume();
				resolve(response.statusCode);
			},
		);
		request.on('error', reject);
		request.end();
	});
}

test('a late node does not wait for an answer until after its client has left', async (t) => {
	let lagMs = 0;
	const attempts: Attempt[] = [];
	const forwarder = createForwarder();
	const gate = startGateTask({logger});
	const caller = await startCallerTask({
		name: 'abdali-1',
		dataCentre: 'abdali',
		address: '127.0.0.1:0',
		gate,
		forwarder: {
			...forwarder,
			async forwardAttempt(_address, attempt) {
				attempts.push(attempt);
				return {
					kind: 'answered',
					status: 200,
					headers: {},
					body: new Uint8Array(),
					load: undefined,
					stamp: undefined,
				};
			},
		},
		logger,
		edge: {
			...defaultEdge,
			readCallerParameters: (headers) => ({
				...defaultEdge.readCallerParameters(headers),
				deadlineMs: 400,
			}),
		},
		readLag: () => lagMs,
		now: () => 1000,
	});
	t.after(async () => {
		await Promise.all([caller.stop(), forwarder.stop(), gate.stop()]);
	});
	caller.updateRoutes({
		kind: 'document',
		document: {version: 1, routes: [createSampleRoute('a')], services: {}},
	});
	const member = createSampleMember({name: 'abdali-2'});
	caller.updateMembers({
		self: createSampleMember(),
		members: [member],
		candidates: new Map([
			[
				'pricebook',
				[
					{
						host: member.name,
						address: member.address,
						dataCentre: member.dataCentre,
						slots: 6,
						sinceMs: 0,
					},
				],
			],
		]),
	});

	assert.equal(await callPrices(caller.address), 200);
	lagMs = 120;
	assert.equal(await callPrices(caller.address), 200);
	const [onTime, late] = attempts.map(({remainingMs}) => remainingMs);
	assert.ok(onTime! > 300 && onTime! <= 400);
	assert.equal(late, onTime! - 120);
});
