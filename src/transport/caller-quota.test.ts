import assert from 'node:assert/strict';
import test from 'node:test';
import {request} from 'undici';
import {createSampleRoute} from '../../harness/create-sample-route.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {compileDocument} from '../state/compile-document.js';
import {matchRoute} from '../state/match-route.js';
import {createForwarder} from './create-forwarder.js';
import {startCallerTask} from './start-caller-task.js';
import {startGateTask} from './start-gate-task.js';

const logger = createSilentLogger();

test('a request over the quota gets 429, and one that does not run gives its token back', async (t) => {
	const document = {
		version: 1,
		routes: [createSampleRoute('a')],
		services: {},
	};
	// Compiled routes are cached by their source, so the caller task uses this one.
	const route = matchRoute(compileDocument(document), {
		method: 'GET',
		host: 'prices.example',
		path: '/a/',
	});
	assert.ok(typeof route === 'object');
	Object.assign(route, {tenant: 'registry'});
	let tokens = 1;
	let returned = 0;
	const gate = startGateTask({logger});
	const forwarder = createForwarder();
	const caller = await startCallerTask({
		name: 'abdali-1',
		dataCentre: 'abdali',
		address: '127.0.0.1:0',
		gate,
		forwarder,
		logger,
		quota: {
			take: () =>
				tokens-- > 0 ? {kind: 'admit'} : {kind: 'refuse', retryAfterMs: 1000},
			giveBack() {
				returned++;
			},
		},
	});
	t.after(async () => {
		await Promise.all([caller.stop(), forwarder.stop(), gate.stop()]);
	});
	caller.updateRoutes({kind: 'document', document});
	const statuses: number[] = [];
	for (let index = 0; index < 2; index++) {
		const response = await request(`http://${caller.address}/a/`, {
			headers: {host: 'prices.example'},
		});
		statuses.push(response.statusCode);
		assert.ok(response.headers['retry-after']);
		await response.body.dump();
	}

	// No host runs the service, so the admitted request ends as not run.
	assert.deepEqual(statuses, [503, 429]);
	assert.equal(returned, 1);
	assert.equal(caller.readInFlight(), 0);
});
