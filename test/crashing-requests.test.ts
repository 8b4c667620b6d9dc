/**
 * Tests of requests that crash their upstreams, on real nodes.
 */
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {
	countRuns,
	startCrashingFleet,
	type CrashingUpstream,
} from '../harness/_lib/crashing-fleet.js';
import {sendRequest} from '../harness/_lib/platform-node.js';
import {pollUntil} from '../harness/poll-until.js';

/** Most runs of a crashing request: three crashes, and three more while the nodes learn of them. */
const maxRuns = 6;

/** Shortest quarantine of a request, ms. */
const minQuarantineMs = 30_000;

/** How often the clients send the crashing request. */
const rounds = 10;

/** Sends a request to each node in turn, and waits after each until all upstreams are back. */
async function sendInTurn(
	fleet: Awaited<ReturnType<typeof startCrashingFleet>>,
	options: {readonly path: string; readonly method: string; body?: string},
): Promise<readonly number[]> {
	const {path, ...request} = options;
	const statuses: number[] = [];
	for (let round = 0; round < rounds; round++) {
		const {settings} = fleet.upstreams[round % fleet.upstreams.length]!;
		const {status} = await sendRequest(settings.callers, path, {
			...request,
			id: `round-${round}`,
		});
		statuses.push(status);
		await fleet.waitUntilUp();
	}

	return statuses;
}

async function testCrashingRequest(
	t: TestContext,
	options: {readonly path: string; readonly method: string; body?: string},
): Promise<void> {
	const fleet = await startCrashingFleet(t, 3);
	const statuses = await sendInTurn(fleet, options);
	const runs = countRuns(fleet.upstreams, options.path);
	assert.ok(runs <= maxRuns, `the request ran ${runs} times`);
	// A refusal that says not run, so that the client knows that nothing has happened.
	assert.equal(statuses.at(-1), 503);
}

test('a request that crashes its upstreams is no longer sent, whichever node gets it', async (t) => {
	await testCrashingRequest(t, {path: '/prices/dead', method: 'GET'});
});

test('a crashing request that may not be repeated is no longer sent', async (t) => {
	await testCrashingRequest(t, {
		path: '/orders/dead',
		method: 'POST',
		body: 'lamb',
	});
});

test('a crashing upload that is too long to be buffered is no longer sent', async (t) => {
	await testCrashingRequest(t, {
		path: '/photos/dead',
		method: 'POST',
		body: 'a'.repeat(600 * 1024),
	});
});

test('two crashing requests of different routes at once are no longer sent', async (t) => {
	const fleet = await startCrashingFleet(t, 3);
	const requests = [
		{path: '/prices/dead', method: 'GET'},
		{path: '/orders/dead', method: 'POST', body: 'lamb'},
	] as const;
	let statuses: readonly number[] = [];
	for (let round = 0; round < rounds; round++) {
		statuses = await Promise.all(
			requests.map(async ({path, ...request}, index) => {
				const sender = (round + index) % fleet.upstreams.length;
				const {settings} = fleet.upstreams[sender]!;
				const id = `round-${round}-${index}`;
				const answer = await sendRequest(settings.callers, path, {
					...request,
					id,
				});
				return answer.status;
			}),
		);
		await fleet.waitUntilUp();
	}

	const runs = requests.map(({path}) => countRuns(fleet.upstreams, path));
	assert.ok(
		Math.max(...runs) <= maxRuns,
		`the requests ran ${runs.join(' and ')} times`,
	);
	assert.deepEqual(statuses, [503, 503]);
});

test('a request that crashes its upstreams late, beside others, is no longer sent', async (t) => {
	const fleet = await startCrashingFleet(t, 3, 120);
	const ending = new AbortController();
	let number = 0;
	const clients = fleet.upstreams.map(async ({settings}) => {
		while (!ending.signal.aborted) {
			await sendRequest(settings.callers, `/prices/other-${number++}`);
		}
	});
	const path = '/prices/dead';
	const statuses = await sendInTurn(fleet, {path, method: 'GET'});
	ending.abort();
	await Promise.all(clients);
	const runs = countRuns(fleet.upstreams, path);
	assert.ok(runs <= maxRuns, `the request ran ${runs} times`);
	assert.equal(statuses.at(-1), 503);
});

test('a crashing request is no longer sent while every node starts again', async (t) => {
	const fleet = await startCrashingFleet(t, 3);
	const path = '/prices/dead';
	await sendInTurn(fleet, {path, method: 'GET'});
	for (const upstream of fleet.upstreams) {
		await upstream.restartNode();
		await fleet.waitUntilUp();
		await sendRequest(upstream.settings.callers, path);
		await fleet.waitUntilUp();
	}

	const statuses = await sendInTurn(fleet, {path, method: 'GET'});
	const runs = countRuns(fleet.upstreams, path);
	assert.ok(runs <= maxRuns, `the request ran ${runs} times`);
	assert.equal(statuses.at(-1), 503);
});

test('a node that starts after the crashes refuses the crashing request', async (t) => {
	const fleet = await startCrashingFleet(t, 3);
	await sendInTurn(fleet, {path: '/prices/dead', method: 'GET'});
	const before = countRuns(fleet.upstreams, '/prices/dead');
	const {settings} = await fleet.addHost();
	await fleet.waitUntilUp();
	const {status} = await sendRequest(settings.callers, '/prices/dead');
	assert.equal(status, 503);
	assert.equal(countRuns(fleet.upstreams, '/prices/dead'), before);
});

// Regression: the request was refused until the end of its quarantine.
test('a request is served again as soon as a new software version answers it', async (t) => {
	const fleet = await startCrashingFleet(t, 3);
	const path = '/prices/dead';
	const statuses = await sendInTurn(fleet, {path, method: 'GET'});
	assert.equal(statuses.at(-1), 503);
	await fleet.mend();
	for (const {settings} of fleet.upstreams) {
		const isServed = await pollUntil(async () => {
			const {status} = await sendRequest(settings.callers, path);
			return status === 200;
		}, minQuarantineMs / 2);
		assert.ok(isServed, `not served at ${settings.name}`);
	}
});

test('a popular request is served after crashes for other reasons', async (t) => {
	const fleet = await startCrashingFleet(t, 3);
	const {upstreams} = fleet;
	const ending = new AbortController();

	async function sendUntilDone({settings}: CrashingUpstream): Promise<void> {
		while (!ending.signal.aborted) {
			await sendRequest(settings.callers, '/prices/popular');
		}
	}

	const clients = [...upstreams, ...upstreams].map(async (upstream) =>
		sendUntilDone(upstream),
	);
	for (let crash = 0; crash < rounds; crash++) {
		await upstreams[crash % upstreams.length]!.crash();
		await fleet.waitUntilUp();
	}

	ending.abort();
	await Promise.all(clients);
	for (const {settings} of upstreams) {
		const {status} = await sendRequest(settings.callers, '/prices/popular');
		assert.equal(status, 200);
	}
});
