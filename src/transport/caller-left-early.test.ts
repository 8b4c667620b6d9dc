import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {request as startRequest} from 'node:http';
import test, {type TestContext} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {createSampleRoute} from '../../harness/create-sample-route.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {createForwarder, type Forwarder} from './create-forwarder.js';
import {defaultEdge} from './default-edge.js';
import {startCallerTask} from './start-caller-task.js';
import {startGateTask} from './start-gate-task.js';

const logger = createSilentLogger();
const stamp = {epoch: 'a', timeMs: 500};
const longBody = Buffer.alloc(60_000);

async function startCaller(t: TestContext, changes: Partial<Forwarder>) {
	const forwarder = createForwarder();
	const gate = startGateTask({logger});
	const caller = await startCallerTask({
		name: 'abdali-1',
		dataCentre: 'abdali',
		address: '127.0.0.1:0',
		gate,
		forwarder: {...forwarder, ...changes},
		logger,
		edge: {
			...defaultEdge,
			readCallerParameters: (headers) => ({
				...defaultEdge.readCallerParameters(headers),
				deadlineMs: 2000,
			}),
		},
		now: () => 1000,
	});
	t.after(async () => {
		await Promise.all([caller.stop(), forwarder.stop(), gate.stop()]);
	});
	caller.updateRoutes({
		kind: 'document',
		document: {version: 1, routes: [createSampleRoute('a')], services: {}},
	});
	const {
		name: host,
		address,
		dataCentre,
	} = createSampleMember({
		name: 'abdali-2',
	});
	caller.updateMembers({
		self: createSampleMember(),
		members: [createSampleMember({name: 'abdali-2'})],
		candidates: new Map([
			['pricebook', [{host, address, dataCentre, slots: 6, sinceMs: 0}]],
		]),
	});
	return caller;
}

function send(address: string, body: Uint8Array) {
	const [host, port] = address.split(':');
	const request = startRequest({
		host,
		port,
		path: '/a/',
		method: body.length > 0 ? 'POST' : 'GET',
		headers: {host: 'prices.example', 'content-length': body.length},
	});
	const status = new Promise<number | undefined>((resolve) => {
		request.on('error', () => {
			resolve(undefined);
		});
		request.on('response', (response) => {
			response.resume();
			resolve(response.statusCode);
		});
	});
	request.end(body);
	return {request, status};
}

test('a request is not sent to a gate when its client leaves while the stamp is fetched', async (t) => {
	const forwarded: boolean[] = [];
	let askedStamp!: () => void;
	const asked = new Promise<void>((resolve) => {
		askedStamp = resolve;
	});
	const caller = await startCaller(t, {
		async readStamp() {
			askedStamp();
			await wait(200);
			return stamp;
		},
		async forwardAttempt(_address, {signal}) {
			forwarded.push(signal.aborted);
			return {
				kind: 'answered',
				status: 200,
				headers: {},
				body: new Uint8Array(),
				load: undefined,
				stamp: undefined,
			};
		},
	});
	const {request} = send(caller.address, longBody);
	await asked;
	request.destroy();
	await wait(400);
	assert.deepEqual(forwarded, []);
});
