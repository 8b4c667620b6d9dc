import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {z} from 'zod';
import {closeServer, listenOn, parseJson, readBody} from './json-http.js';
import {
	startUpstream,
	type Upstream,
	type UpstreamOptions,
} from './upstream-stand-in.js';

type Call = {method?: string; url?: string; body: unknown};

async function startNode(
	context: TestContext,
): Promise<{node: string; calls: Call[]}> {
	const calls: Call[] = [];
	const record = async (request: IncomingMessage): Promise<void> => {
		const {method, url} = request;
		calls.push({method, url, body: parseJson((await readBody(request))!)});
	};

	const server = createServer((request, response) => {
		void record(request).then(() => response.end());
	});
	context.after(async () => closeServer(server));
	return {node: await listenOn(server, '127.0.0.1', 0), calls};
}

async function start(
	context: TestContext,
	options: Partial<UpstreamOptions> = {},
): Promise<{upstream: Upstream; calls: Call[]}> {
	const {node, calls} = await startNode(context);
	const upstream = await startUpstream({
		service: 'cart',
		team: 'shop',
		id: 'cart/1',
		node,
		host: '127.0.0.1',
		...options,
	});
	context.after(async () => upstream.stop());
	return {upstream, calls};
}

async function waitForInFlight(url: string, expected: number): Promise<void> {
	const response = await fetch(`${url}/health`);
	const health = z.object({inFlight: z.number(), slots: z.number()});
	const {inFlight} = health.parse(await response.json());
	if (inFlight !== expected) {
		await waitForInFlight(url, expected);
	}
}

async function readRuns(url: string): Promise<unknown> {
	const response = await fetch(`${url}/control/runs`);
	return response.json();
}

test('echoes and counts the runs of a request id', async (context) => {
	const {upstream} = await start(context);
	const headers = {'boragehitch-request-id': 'r1'};
	await fetch(`${upstream.url}/x`, {headers});
	const response = await fetch(`${upstream.url}/x?y=1`, {
		method: 'POST',
		headers,
		body: 'four',
	});
	assert.equal(response.headers.get('boragehitch-load'), '1/6');
	assert.deepEqual(await response.json(), {
		service: 'cart',
		upstream: 'cart/1',
		path: '/x?y=1',
		method: 'POST',
		runs: 2,
		requestId: 'r1',
		bodyBytes: 4,
	});
	assert.equal(upstream.runs.get('r1'), 2);
	assert.equal(upstream.answers.get(200), 2);
});

test('sheds over its slots, and counts a cancelled wait', async (context) => {
	const {upstream} = await start(context, {slots: 1, serviceMs: 60_000});
	const {url} = upstream;
	const abort = new AbortController();
	const cancelled = assert.rejects(fetch(url, {signal: abort.signal}));
	await waitForInFlight(url, 1);
	const shed = await fetch(url);
	assert.equal(shed.status, 503);
	assert.equal(shed.headers.get('retry-after'), '1');
	assert.equal(shed.headers.get('boragehitch-shed'), 'not-run');
	abort.abort();
	await cancelled;
	await waitForInFlight(url, 0);
	assert.deepEqual(await readRuns(url), {runs: {}, total: 0, cancelled: 1});
});

test('refuses a request whose deadline has passed', async (context) => {
	const {upstream} = await start(context);
	const headers = {'boragehitch-deadline-ms': '0'};
	const response = await fetch(upstream.url, {headers});
	assert.equal(response.status, 504);
	assert.equal(upstream.runs.size, 0);
});

test('misbehaves as told', async (context) => {
	const {upstream} = await start(context);
	const {url} = upstream;
	await fetch(`${url}/control/behaviour`, {
		method: 'PUT',
		body: JSON.stringify({errorStatus: 500, misleadingLoad: '0/99'}),
	});
	const failed = await fetch(url);
	assert.equal(failed.status, 500);
	assert.equal(failed.headers.get('boragehitch-load'), '0/99');
	upstream.setBehaviour({truncate: true});
	const truncated = await fetch(url);
	await assert.rejects(truncated.text());
	upstream.setBehaviour({silent: true});
	const abort = new AbortController();
	const silent = assert.rejects(fetch(url, {signal: abort.signal}));
	while (upstream.runs.get('') !== 3) {
		await waitForInFlight(url, 1);
	}

	abort.abort();
	await silent;
	upstream.setBehaviour({shed: true});
	const shed = await fetch(url);
	assert.equal(shed.headers.get('boragehitch-shed'), 'not-run');
	assert.equal(upstream.runs.get(''), 3);
});

test('announces itself, and leaves after what is in flight', async (context) => {
	const {upstream, calls} = await start(context, {serviceMs: 300});
	const expected = {
		team: 'shop',
		service: 'cart',
		address: new URL(upstream.url).host,
		slots: 6,
		connections: 110,
		state: 'ready',
	};
	assert.deepEqual(calls[0], {
		method: 'PUT',
		url: '/upstreams/cart%2F1',
		body: expected,
	});
	const running = fetch(upstream.url);
	await waitForInFlight(upstream.url, 1);
	await upstream.stop();
	const response = await running;
	assert.equal(response.status, 200);
	assert.equal(response.headers.get('connection'), 'close');
	assert.deepEqual(calls.at(-2)?.body, {...expected, state: 'leaving'});
	assert.equal(calls.at(-1)?.method, 'DELETE');
	await assert.rejects(fetch(upstream.url));
});

test('starts and stops without its node', async () => {
	const upstream = await startUpstream({
		service: 'cart',
		team: 'shop',
		id: 'cart-1',
		node: 'http://127.0.0.1:1',
		host: '127.0.0.1',
	});
	const response = await fetch(upstream.url);
	assert.equal(response.status, 200);
	await upstream.stop();
});

test('the executable prints its URL and leaves its node on SIGTERM', async (context) => {
	const {node, calls} = await startNode(context);
	const main = fileURLToPath(new URL('upstream-main.ts', import.meta.url));
	const options = [
		'--service=cart',
		'--team=shop',
		'--id=c1',
		`--node=${node}`,
	];
	const child = spawn(process.execPath, ['--import', 'tsx', main, ...options], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	const exit = once(child, 'exit');
	const printed = await once(child.stdout.setEncoding('utf8'), 'data');
	const {url} = z.object({url: z.url()}).parse(JSON.parse(printed.join('')));
	const response = await fetch(url);
	assert.equal(response.status, 200);
	child.kill('SIGTERM');
	assert.deepEqual(await exit, [0, null]);
	assert.equal(calls.at(-1)?.method, 'DELETE');
});
