/**
 * Tests of how the gate detects crashes of its upstream, and what it does with
 * requests that are suspected of them.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {createConnection} from 'node:net';
import test, {type TestContext} from 'node:test';
import {createSampleAttempt} from '../../harness/create-sample-attempt.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {pollUntil} from '../../harness/poll-until.js';
import type {
	RunningRequest,
	Suspicion,
} from '../coordination/quarantine-state.js';
import type {Announcement} from '../protocol/member.js';
import {waitForTurns} from './_lib/wait-for-turns.js';
import {startGateTask} from './start-gate-task.js';

const timeoutMs = 5000;

/** Event loop turns after which the gate has handled the result of a probe that began before another one. */
const turnsAfterProbe = 20;

/** Starts a gate and an upstream that holds its requests and can crash. */
async function start(t: TestContext) {
	const held = new Map<string, ServerResponse>();
	const crashes: Array<readonly string[]> = [];
	const suspicions = new Map<string, Suspicion>();
	const completed: string[] = [];
	const versions: string[] = [];
	let lastAttempt = 0;
	const server = createServer((request, response) => {
		held.set(request.url!, response);
	});
	let connections = 0;
	server.on('connection', () => {
		connections++;
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	const address = `127.0.0.1:${typeof bound === 'object' ? bound?.port : 0}`;
	const gate = startGateTask({
		logger: createSilentLogger(),
		quarantine: {
			hasRecords: () => true,
			readSuspicion: (fingerprint, version) =>
				suspicions.get(`${fingerprint} ${version}`) ??
				suspicions.get(fingerprint ?? '') ?? {kind: 'none'},
			recordCrash(_id, running: readonly RunningRequest[]) {
				crashes.push(running.map(({fingerprint}) => fingerprint).toSorted());
			},
			recordCompletion(fingerprint) {
				completed.push(fingerprint!);
			},
			recordVersion(service, version) {
				versions.push(`${service} ${version}`);
			},
		},
	});
	const announcement: Announcement = {
		team: '',
		service: 'registry',
		address,
		incarnation: 5,
		sequence: 1,
		slots: 6,
		connections: 10,
		state: 'ready',
	};
	gate.announce('i-1', announcement);
	function crash(): void {
		server.close();
		server.closeAllConnections();
	}

	t.after(async () => {
		crash();
		await gate.stop();
	});

	/** Sends a request whose path is its name and its fingerprint; returns how it ends. */
	async function send(name: string): Promise<string> {
		const result = await gate.runAttempt(
			createSampleAttempt({
				id: `${name}/${++lastAttempt}`,
				path: name,
				fingerprint: name,
				remainingMs: 20_000,
				stamp: gate.readStamp(),
			}),
		);
		return result.kind === 'answered'
			? 'answered'
			: `${result.kind} ${result.reason}`;
	}

	async function waitUntilHeld(...names: readonly string[]): Promise<void> {
		const areHeld = await pollUntil(
			async () => names.every((name) => held.has(name)),
			timeoutMs,
		);
		assert.ok(areHeld, `not all of ${names.join(', ')} have arrived`);
	}

	return {
		gate,
		announcement,
		held,
		crashes,
		suspicions,
		completed,
		versions,
		crash,
		send,
		waitUntilHeld,
		readConnections: () => connections,
		/** Waits until the gate has found out that nothing listens at the upstream's address. */
		async waitForProbe() {
			const [host, port] = address.split(':');
			for (let probe = 0; probe < 3; probe++) {
				const socket = createConnection({host: host!, port: Number(port)});
				await once(socket, 'close').catch(() => undefined);
				await waitForTurns(turnsAfterProbe);
			}
		},
		async waitUntilCrashed() {
			const hasCrashed = await pollUntil(
				async () => crashes.length > 0,
				timeoutMs,
			);
			assert.ok(hasCrashed, 'no crash was detected');
		},
	};
}

test('a crash is blamed on the requests that were running, but not on one that was answered before', async (t) => {
	const upstream = await start(t);
	const popular = upstream.send('/popular');
	await upstream.waitUntilHeld('/popular');
	upstream.held.get('/popular')!.end();
	assert.equal(await popular, 'answered');
	assert.deepEqual(upstream.completed, ['/popular']);
	upstream.held.clear();
	const running = ['/dead', '/lamb', '/popular'].map(async (name) =>
		upstream.send(name),
	);
	await upstream.waitUntilHeld('/dead', '/lamb', '/popular');
	upstream.crash();
	assert.deepEqual(await Promise.all(running), [
		'unknown connection-lost',
		'unknown connection-lost',
		'unknown connection-lost',
	]);
	await upstream.waitUntilCrashed();
	assert.deepEqual(upstream.crashes.flat().toSorted(), ['/dead', '/lamb']);
});

test('a full upstream that resets connections has not crashed', async (t) => {
	const upstream = await start(t);
	const reset = upstream.send('/reset');
	await upstream.waitUntilHeld('/reset');
	upstream.held.get('/reset')!.socket!.destroy();
	assert.equal(await reset, 'unknown connection-lost');
	const later = upstream.send('/later');
	await upstream.waitUntilHeld('/later');
	upstream.held.get('/later')!.end();
	await later;
	// The reset must not be blamed for what happens after a response.
	upstream.gate.announce('i-1', {...upstream.announcement, incarnation: 6});
	assert.deepEqual(upstream.crashes, []);
});

test('a full upstream that resets one of its connections gets no further one', async (t) => {
	const upstream = await start(t);
	const reset = upstream.send('/reset');
	const other = upstream.send('/other');
	await upstream.waitUntilHeld('/reset', '/other');
	upstream.held.get('/reset')!.socket!.destroy();
	await reset;
	const later = upstream.send('/later');
	await upstream.waitUntilHeld('/later');
	// Of the two first requests, and of the one after the reset.
	assert.equal(upstream.readConnections(), 3);
	upstream.held.get('/other')!.end();
	upstream.held.get('/later')!.end();
	await Promise.all([other, later]);
	assert.deepEqual(upstream.crashes, []);
});

test('an upstream that ends as announced has not crashed', async (t) => {
	const upstream = await start(t);
	const running = upstream.send('/lamb');
	await upstream.waitUntilHeld('/lamb');
	upstream.gate.announce('i-1', {
		...upstream.announcement,
		sequence: 2,
		state: 'leaving',
	});
	upstream.crash();
	await running;
	upstream.gate.announce('i-1', {...upstream.announcement, incarnation: 6});
	assert.deepEqual(upstream.crashes, []);
});

test('an upstream that is withdrawn before it ends has not crashed', async (t) => {
	const upstream = await start(t);
	const running = upstream.send('/lamb');
	await upstream.waitUntilHeld('/lamb');
	upstream.gate.withdraw('i-1');
	upstream.crash();
	await running;
	await upstream.waitForProbe();
	assert.deepEqual(upstream.crashes, []);
});

test('a crash of an upstream that is back at once is found by its new incarnation', async (t) => {
	const upstream = await start(t);
	const running = upstream.send('/dead');
	await upstream.waitUntilHeld('/dead');
	upstream.held.get('/dead')!.socket!.destroy();
	await running;
	upstream.gate.announce('i-1', {...upstream.announcement, incarnation: 6});
	assert.deepEqual(upstream.crashes, [['/dead']]);
});

test('suspects run one after the other, and other requests beside them', async (t) => {
	const upstream = await start(t);
	upstream.suspicions.set('/dead', {kind: 'suspect'});
	upstream.suspicions.set('/lamb', {kind: 'suspect'});
	const results = ['/dead', '/lamb', '/beef'].map(async (name) =>
		upstream.send(name),
	);
	await upstream.waitUntilHeld('/dead', '/beef');
	upstream.held.get('/beef')!.end();
	assert.equal(await results[2], 'answered');
	assert.ok(!upstream.held.has('/lamb'), 'two suspects run at once');
	upstream.held.get('/dead')!.end();
	await upstream.waitUntilHeld('/lamb');
	upstream.held.get('/lamb')!.end();
	assert.deepEqual(await Promise.all(results), [
		'answered',
		'answered',
		'answered',
	]);
});

test('a queued request that is quarantined meanwhile is refused as not run', async (t) => {
	const upstream = await start(t);
	upstream.suspicions.set('/lamb', {kind: 'suspect'});
	upstream.suspicions.set('/dead', {kind: 'suspect'});
	const first = upstream.send('/lamb');
	const second = upstream.send('/dead');
	await upstream.waitUntilHeld('/lamb');
	upstream.suspicions.set('/dead', {kind: 'quarantined', remainingMs: 1000});
	upstream.held.get('/lamb')!.end();
	assert.equal(await first, 'answered');
	assert.equal(await second, 'not-run quarantined');
	assert.equal(await upstream.send('/dead'), 'not-run quarantined');
	assert.ok(!upstream.held.has('/dead'), 'a quarantined request was sent');
});

test('a request that is quarantined for other software versions is run by a new one', async (t) => {
	const upstream = await start(t);
	upstream.suspicions.set('/dead', {kind: 'quarantined', remainingMs: 1000});
	upstream.suspicions.set('/dead v2', {kind: 'suspect'});
	assert.equal(await upstream.send('/dead'), 'not-run quarantined');
	upstream.gate.announce('i-1', {...upstream.announcement, version: 'v1'});
	assert.equal(await upstream.send('/dead'), 'not-run quarantined');
	upstream.gate.announce('i-1', {
		...upstream.announcement,
		incarnation: 6,
		version: 'v2',
	});
	assert.deepEqual(upstream.versions, ['registry v1', 'registry v2']);
	const mended = upstream.send('/dead');
	await upstream.waitUntilHeld('/dead');
	upstream.held.get('/dead')!.end();
	assert.equal(await mended, 'answered');
});
