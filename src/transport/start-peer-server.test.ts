import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	IncomingMessage,
	request as sendHttpRequest,
	type ServerResponse,
} from 'node:http';
import {createConnection} from 'node:net';
import {Readable} from 'node:stream';
import {text as readText} from 'node:stream/consumers';
import test, {type TestContext} from 'node:test';
import {
	setImmediate as waitForTurn,
	setTimeout as sleep,
} from 'node:timers/promises';
import * as z from 'zod';
import {createGateHandlers} from '../../harness/create-gate-handlers.js';
import {createSampleAttempt} from '../../harness/create-sample-attempt.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {pollUntil} from '../../harness/poll-until.js';
import {
	attemptHeader,
	deadlineHeader,
	outcomeHeader,
} from '../protocol/request.js';
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

type GateOptions = {
	/** Clock of the gate, monotonic ms. */
	readonly now?: () => number;
	readonly readLag?: () => number;
	readonly bodyMemory?: BodyMemoryBudget;
	/** Sends the response of the upstream. */
	readonly answer?: (response: ServerResponse) => void;
};

const timeoutMs = 5000;
const responseSchema = z.tuple([z.instanceof(IncomingMessage)]);
/** Longer than the shortest timer. */
const bodyDelayMs = 100;

function endResponse(response: ServerResponse): void {
	response.end('done');
}

/** Starts a peer server with a gate and an upstream that has one slot. */
async function startGate(
	t: TestContext,
	{readLag = () => 0, answer = endResponse, now, bodyMemory}: GateOptions,
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
		handlers: createGateHandlers(gate),
	});
	const forwarder = createForwarder();
	t.after(async () => {
		await Promise.all([forwarder.stop(), gate.stop(), server.stop()]);
		await upstream.stop();
	});
	return {arrived, bodies, gate, server, forwarder};
}

test('a node with event loop lag does not forward an attempt that may have waited past its deadline', async (t) => {
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

test('a node with event loop lag does not mistake the end of a body for a disconnect of its sender', async (t) => {
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

test('a call between nodes creates no Fetch API Request', async (t) => {
	const gate = startGateTask({logger});
	const server = await startPeerServer({
		address: '127.0.0.1:0',
		gate,
		logger,
		handlers: createGateHandlers(gate),
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

	// On a busy machine the first calls may time out.
	const hasStamp = await pollUntil(
		async () => (await forwarder.readStamp(server.address)) !== undefined,
		timeoutMs,
	);
	assert.ok(hasStamp);
	assert.equal(created, 0);
});

test('a queued attempt whose sender has disconnected is not run', async (t) => {
	const pendingResponses: ServerResponse[] = [];
	const {arrived, bodies, gate, server, forwarder} = await startGate(t, {
		answer(response) {
			pendingResponses.push(response);
		},
	});
	const first = createSampleAttempt({
		method: 'POST',
		headers: {'content-length': '5'},
		body: Buffer.from('first'),
		repeatable: false,
		remainingMs: timeoutMs,
		stamp: gate.readStamp(),
	});
	const running = forwarder.forwardAttempt(server.address, first);
	await pollUntil(async () => pendingResponses.length === 1, timeoutMs);
	const sender = createCancelSource();
	const second = {...first, id: 'a/2', signal: sender.signal};
	void forwarder.forwardAttempt(server.address, second);
	await pollUntil(async () => arrived.includes(second.id), timeoutMs);
	sender.abort();

	const isEnded = await pollUntil(
		async () => gate.ask(second) === 'fenced',
		timeoutMs,
	);
	assert.ok(isEnded);
	endResponse(pendingResponses[0]!);
	const result = await running;
	assert.equal(result.kind, 'answered');
	assert.deepEqual(bodies, ['first']);
});

test('an attempt that was delayed in the network past its deadline is not forwarded', async (t) => {
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

	// A network partition ends, and an attempt that was sent during it arrives.
	at += 6000;
	const result = await forwarder.forwardAttempt(server.address, attempt);
	assert.equal(result.kind, 'not-run');
	assert.deepEqual(bodies, []);
	assert.equal(gate.ask(attempt), 'fenced');
});

test('a first attempt whose sender disconnected before it was read is not forwarded', async (t) => {
	const {bodies, arrived, gate, server, forwarder} = await startGate(t, {});
	const [host, port] = server.address.split(':');
	const socket = createConnection(Number(port), host);
	const headers = createAttemptHeaders(
		createSampleAttempt({
			id: 'a/1',
			remainingMs: timeoutMs,
			stamp: gate.readStamp(),
		}),
	);
	const lines = Object.entries(headers).map(
		([name, value]) => `${name}: ${String(value)}`,
	);
	socket.end(
		['GET /gate/valves HTTP/1.1', 'host: a', ...lines, '\r\n'].join('\r\n'),
	);
	await once(socket, 'close');
	const next = createSampleAttempt({
		id: 'a/2',
		remainingMs: timeoutMs,
		stamp: gate.readStamp(),
	});
	const result = await forwarder.forwardAttempt(server.address, next);
	assert.equal(result.kind, 'answered');
	assert.deepEqual(arrived, ['a/2']);
	assert.equal(bodies.length, 1);
	assert.equal(gate.ask({id: 'a/1'}), 'fenced');
});

const longBytes = 100_000;

// Guards against a leak: the memory of a long body was never released, until no
// memory was left and all long bodies had to be streamed.
test('the memory of a long body is released, including when its sender disconnects', async (t) => {
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
	}, timeoutMs);
	assert.ok(isFree, 'the memory was not released');
	assert.ok(arrived.length <= 2);
});

// Without keepalives, the caller would consider the gate lost and the upload not run.
test('a gate sends keepalives while a long body arrives', async (t) => {
	const {gate, server, forwarder} = await startGate(t, {});
	let keepalives = 0;
	const body = new Readable({
		read() {
			// The test pushes the data.
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
				keepalives++;
			},
		}),
	);
	body.push(Buffer.alloc(longBytes / 2));
	const hasKeepalive = await pollUntil(async () => keepalives > 0, timeoutMs);
	assert.ok(hasKeepalive, 'no keepalive received');
	body.push(Buffer.alloc(longBytes / 2));
	await waitForTurn();
	body.push(null);
	const {kind} = await result;
	assert.equal(kind, 'answered');
});

for (const deadline of ['99999999999', '1e400', 'x', '']) {
	test(`an attempt whose time limit is written as "${deadline}" runs when its body has arrived`, async (t) => {
		const {gate, server, bodies} = await startGate(t, {});
		const attempt = createSampleAttempt({
			stamp: gate.readStamp(),
			method: 'POST',
		});
		const request = sendHttpRequest(`http://${server.address}/gate/valves`, {
			method: 'POST',
			headers: {
				...createAttemptHeaders(attempt),
				[deadlineHeader]: deadline,
				'content-length': '4',
			},
		});
		const answered = once(request, 'response');
		request.write('va');
		await sleep(bodyDelayMs);
		request.end('lv');
		const [response] = responseSchema.parse(await answered);
		assert.equal(await readText(response), 'done');
		assert.deepEqual(bodies, ['valv']);
	});
}

test('attempts without identifiers are not taken for each other', async (t) => {
	const {gate, server, arrived} = await startGate(t, {});
	const {[attemptHeader]: id, ...headers} = createAttemptHeaders(
		createSampleAttempt({stamp: gate.readStamp(), repeatable: false}),
	);
	assert.equal(id, 'a/1');
	for (let count = 0; count < 2; count++) {
		const request = sendHttpRequest(`http://${server.address}/gate/valves`, {
			headers,
		});
		request.end();
		const [response] = responseSchema.parse(await once(request, 'response'));
		await readText(response);
		assert.equal(response.headers[outcomeHeader], 'not-run');
	}

	assert.deepEqual(arrived, []);
});
