import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {createConnection} from 'node:net';
import {Readable} from 'node:stream';
import {text as readText} from 'node:stream/consumers';
import test, {type TestContext} from 'node:test';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {createSampleAttempt} from '../../harness/create-sample-attempt.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {pollUntil} from '../../harness/poll-until.js';
import {
	createBodyMemoryBudget,
	type BodyMemoryBudget,
} from './_lib/create-body-memory-budget.js';
import {createAttemptHeaders} from './_lib/create-attempt-headers.js';
import {createCancelSource} from './_lib/create-cancel-source.js';
import {startServer} from './_lib/start-server.js';
import {createForwarder} from './create-forwarder.js';
import {startGateTask} from './start-gate-task.js';
import {startPeerServer} from './start-peer-server.js';

const logger = createSilentLogger();

const refuseCall = (): never => {
	throw new Error('the test makes no such call');
};

type GateOptions = {
	/** Monotonic ms of the gate. */
	readonly now?: () => number;
	readonly readLag?: () => number;
	readonly bodyMemory?: BodyMemoryBudget;
	/** Answers a request at the upstream. */
	readonly answer?: (response: ServerResponse) => void;
};

const limitMs = 5000;

function endAnswer(response: ServerResponse): void {
	response.end('done');
}

/** Starts a gate with an upstream of one slot, behind a peer server. */
async function startGate(
	t: TestContext,
	{readLag = () => 0, answer = endAnswer, now, bodyMemory}: GateOptions,
) {
	const arrived: string[] = [];
	const bodies: string[] = [];
	const upstream = await startServer('127.0.0.1:0', (request, response) => {
		void readText(request).then((body) => {
			bodies.push(body);
			answer(response);
		});
	});
	const gate = startGateTask({logger, now});
	gate.announce('i-1', {
		team: '',
		service: 'registry',
		address: upstream.address,
		slots: 1,
		connections: 4,
		state: 'ready',
	});
	const server = await startPeerServer({
		address: '127.0.0.1:0',
		gate: {
			...gate,
			async runAttempt(attempt) {
				arrived.push(attempt.id);
				return gate.runAttempt(attempt);
			},
		},
		logger,
		readLag,
		bodyMemory,
		handlers: {
			handlePoll: refuseCall,
			handleExchange: refuseCall,
			handleAsk: gate.ask,
			handleCancel: gate.cancel,
			handleStamp: gate.readStamp,
		},
	});
	const forwarder = createForwarder();
	t.after(async () => {
		await Promise.all([forwarder.stop(), gate.stop(), server.stop()]);
		await upstream.stop();
	});
	return {arrived, bodies, gate, server, forwarder};
}

test('a late node does not send on what may have waited past its deadline', async (t) => {
	let lagMs = 0;
	const {bodies, gate, server, forwarder} = await startGate(t, {
		readLag: () => lagMs,
	});
	const attempt = createSampleAttempt({
		remainingMs: 5000,
		stamp: gate.readStamp(),
	});

	const inTime = await forwarder.forwardAttempt(server.address, attempt);
	assert.equal(inTime.kind, 'answered');

	lagMs = 6000;
	const late = {...attempt, id: 'a/2', stamp: gate.readStamp()};
	const result = await forwarder.forwardAttempt(server.address, late);
	assert.equal(result.kind, 'not-run');
	assert.equal(bodies.length, 1);
});

test('a late node does not take the end of a body for the end of its sender', async (t) => {
	const {bodies, gate, server, forwarder} = await startGate(t, {
		readLag: () => 60,
	});
	const attempt = createSampleAttempt({
		method: 'POST',
		headers: {'content-length': '5'},
		body: Buffer.from('valve'),
		repeatable: false,
		remainingMs: 5000,
		stamp: gate.readStamp(),
	});

	const result = await forwarder.forwardAttempt(server.address, attempt);
	assert.equal(result.kind, 'answered');
	assert.deepEqual(bodies, ['valve']);
});

test('a call between nodes creates no web request', async (t) => {
	const gate = startGateTask({logger});
	const server = await startPeerServer({
		address: '127.0.0.1:0',
		gate,
		logger,
		handlers: {
			handlePoll: refuseCall,
			handleExchange: refuseCall,
			handleAsk: gate.ask,
			handleCancel: gate.cancel,
			handleStamp: gate.readStamp,
		},
	});
	const forwarder = createForwarder();
	let created = 0;
	t.mock.getter(globalThis, 'Request', () => {
		created++;
		return Object;
	});
	t.after(async () => {
		await Promise.all([forwarder.stop(), gate.stop(), server.stop()]);
	});

	assert.ok(await forwarder.readStamp(server.address));
	assert.equal(created, 0);
});

test('a waiting attempt whose sender has left does not run later', async (t) => {
	const held: ServerResponse[] = [];
	const {arrived, bodies, gate, server, forwarder} = await startGate(t, {
		answer(response) {
			held.push(response);
		},
	});
	const first = createSampleAttempt({
		method: 'POST',
		headers: {'content-length': '5'},
		body: Buffer.from('first'),
		repeatable: false,
		remainingMs: limitMs,
		stamp: gate.readStamp(),
	});
	const running = forwarder.forwardAttempt(server.address, first);
	await pollUntil(async () => held.length === 1, limitMs);
	const sender = createCancelSource();
	const second = {...first, id: 'a/2', signal: sender.signal};
	void forwarder.forwardAttempt(server.address, second);
	await pollUntil(async () => arrived.includes(second.id), limitMs);
	sender.abort();

	const isEnded = await pollUntil(
		async () => gate.ask(second) === 'fenced',
		limitMs,
	);
	assert.ok(isEnded);
	endAnswer(held[0]!);
	const result = await running;
	assert.equal(result.kind, 'answered');
	assert.deepEqual(bodies, ['first']);
});

test('an attempt that lay in the network past its deadline is not sent on', async (t) => {
	let at = 10_000;
	const {bodies, gate, server, forwarder} = await startGate(t, {
		now: () => at,
	});
	const attempt = createSampleAttempt({
		method: 'POST',
		headers: {'content-length': '5'},
		body: Buffer.from('valve'),
		repeatable: false,
		remainingMs: 800,
		stamp: gate.readStamp(),
		createdAtGateMs: at,
	});

	// A cut of the network ends, and what was sent during it arrives.
	at += 6000;
	const result = await forwarder.forwardAttempt(server.address, attempt);
	assert.equal(result.kind, 'not-run');
	assert.deepEqual(bodies, []);
	assert.equal(gate.ask(attempt), 'fenced');
});

test('a first attempt whose sender left before it was read is not sent on', async (t) => {
	const {bodies, arrived, gate, server, forwarder} = await startGate(t, {});
	const [host, port] = server.address.split(':');
	const socket = createConnection(Number(port), host);
	const headers = createAttemptHeaders(
		createSampleAttempt({id: 'a/1', remainingMs: limitMs}),
	);
	const lines = Object.entries(headers).map(
		([name, value]) => `${name}: ${String(value)}`,
	);
	socket.end(
		['GET /gate/valves HTTP/1.1', 'host: a', ...lines, '\r\n'].join('\r\n'),
	);
	await once(socket, 'close');
	const next = createSampleAttempt({id: 'a/2', remainingMs: limitMs});
	const result = await forwarder.forwardAttempt(server.address, next);
	assert.equal(result.kind, 'answered');
	assert.deepEqual(arrived, ['a/2']);
	assert.equal(bodies.length, 1);
	assert.equal(gate.ask({id: 'a/1'}), 'fenced');
});

const longBytes = 100_000;

// Its memory was kept for good, until all long bodies were streamed.
test('a long body gives back its memory, also when its sender has left', async (t) => {
	const bodyMemory = createBodyMemoryBudget(longBytes);
	let lagMs = 0;
	const {bodies, arrived, gate, server, forwarder} = await startGate(t, {
		bodyMemory,
		readLag: () => lagMs,
	});
	const attempt = createSampleAttempt({
		remainingMs: 5000,
		stamp: gate.readStamp(),
		method: 'POST',
		body: new Uint8Array(longBytes),
	});
	await forwarder.forwardAttempt(server.address, attempt);
	assert.equal(bodies[0]?.length, longBytes);

	lagMs = 60;
	const [host, port] = server.address.split(':');
	const socket = createConnection({host, port: Number(port)});
	const headers = Object.entries({
		...createAttemptHeaders({...attempt, id: 'a/2'}),
		host: server.address,
		'content-length': String(longBytes),
	}).map(([name, value]) => `${name}: ${String(value)}\r\n`);
	socket.write(`POST /gate/valves HTTP/1.1\r\n${headers.join('')}\r\n`);
	socket.write(Buffer.alloc(longBytes), () => {
		socket.resetAndDestroy();
	});
	await once(socket, 'close');
	const isFree = await pollUntil(async () => {
		const isTaken = bodyMemory.tryReserve(longBytes);
		if (isTaken) {
			bodyMemory.release(longBytes);
		}

		return isTaken;
	}, limitMs);
	assert.ok(isFree, 'the memory was not given back');
	assert.ok(arrived.length <= 2);
});

// The caller would have taken the gate for lost, and the upload for not run.
test('a gate gives signs of life while a long body comes in', async (t) => {
	const {gate, server, forwarder} = await startGate(t, {});
	let signs = 0;
	const body = new Readable({
		read() {
			// The test pushes.
		},
	});
	const result = forwarder.forwardAttempt(
		server.address,
		createSampleAttempt({
			remainingMs: 5000,
			stamp: gate.readStamp(),
			method: 'POST',
			headers: {'content-length': String(longBytes)},
			body,
			onKeepalive() {
				signs++;
			},
		}),
	);
	body.push(Buffer.alloc(longBytes / 2));
	const isAlive = await pollUntil(async () => signs > 0, limitMs);
	assert.ok(isAlive, 'no sign of life');
	body.push(Buffer.alloc(longBytes / 2));
	await waitForTurn();
	body.push(null);
	const {kind} = await result;
	assert.equal(kind, 'answered');
});
