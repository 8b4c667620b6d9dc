import assert from 'node:assert/strict';
import test, {after as afterAll, before} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {z} from 'zod';
import {createCostlineManifest} from '../demo/costline-manifest.js';
import {pollUntil} from '../harness/poll-until.js';
import {startHost, type Host} from '../harness/start-host.js';
import {startProcess, type FleetProcess} from '../harness/start-process.js';

const invoices = '/kitchens/invoices';
const prices = '/kitchens/prices/lamb';
const startMs = 15_000;
/** Longest time in which the tests wait for any answer; deadlines are 2 s. */
const answerLimitMs = 10_000;

type Answer = {
	readonly status: number;
	readonly outcome: string;
	readonly reason: string | undefined;
	readonly requestId: string | undefined;
};

const echoSchema = z.looseObject({requestId: z.string().optional()});
const runsSchema = z.looseObject({
	runs: z.record(z.string(), z.number()),
	total: z.number(),
});

let platform: FleetProcess;
/** The host to which callers talk; it has no upstream. */
let front: Host;

before(async () => {
	platform = await startProcess('platform', []);
	front = await startFleetHost('abdali-0');
	const submitted = await request(
		`http://${front.node.ready.administration}/manifests`,
		{method: 'POST', body: JSON.stringify(createCostlineManifest(0))},
	);
	assert.equal(submitted.statusCode, 200);
});

afterAll(async () => {
	await front.stop();
	await platform.stop();
});

async function startFleetHost(name: string, service?: string): Promise<Host> {
	return startHost({
		name,
		dataCentre: 'abdali',
		platformUrl: platform.ready.url!,
		team: 'kitchens',
		service,
		seeds: front ? [front.node.ready.peers!] : [],
	});
}

async function call(path: string, key?: string): Promise<Answer> {
	const {statusCode, headers, body} = await request(
		`http://${front.node.ready.callers}${path}`,
		path === invoices
			? {
					headersTimeout: answerLimitMs,
					method: 'POST',
					body: '{"amount":12}',
					headers: key === undefined ? {} : {'idempotency-key': key},
				}
			: {headersTimeout: answerLimitMs},
	);
	const {requestId} = echoSchema.parse(await body.json());
	const outcome = String(headers['boragehitch-outcome']);
	const reason = headers['boragehitch-reason']?.toString();
	return {status: statusCode, outcome, reason, requestId};
}

async function readRuns(host: Host): Promise<z.infer<typeof runsSchema>> {
	const {body} = await request(`${host.upstream!.ready.url}/control/runs`);
	return runsSchema.parse(await body.json());
}

async function setBehaviour(host: Host, behaviour: unknown): Promise<void> {
	const url = `${host.upstream!.ready.url}/control/behaviour`;
	const body = JSON.stringify(behaviour);
	const answer = await request(url, {method: 'PUT', body});
	await answer.body.dump();
}

async function waitUntilServed(path: string): Promise<void> {
	const isServed = await pollUntil(async () => {
		const {status} = await call(path);
		return status === 200;
	}, startMs);
	assert.ok(isServed);
}

/** Calls again and again until told to stop. */
function startLoad(path: string, clients: number) {
	const answers: Answer[] = [];
	const stopping = new AbortController();
	async function run(): Promise<void> {
		while (!stopping.signal.aborted) {
			answers.push(await call(path));
		}
	}

	const clientRuns = Array.from({length: clients}, async () => run());
	return {
		answers,
		async stop() {
			stopping.abort();
			await Promise.all(clientRuns);
		},
	};
}

function countByOutcome(answers: readonly Answer[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {outcome, reason} of answers) {
		const name = reason === undefined ? outcome : `${outcome} ${reason}`;
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}

test('an invoice whose gate is killed while it runs ends as unknown, having run once', async (t) => {
	const host = await startFleetHost('abdali-1', 'payables');
	t.after(host.stop);
	await waitUntilServed(invoices);
	const {total} = await readRuns(host);
	await setBehaviour(host, {delayMs: 400});
	const pending = call(invoices);
	await delay(150);
	await host.node.kill();
	const {status, outcome} = await pending;
	assert.deepEqual({status, outcome}, {status: 504, outcome: 'unknown'});
	await delay(500);
	const after = await readRuns(host);
	assert.ok(after.total <= total + 1);
});

test('an invoice whose upstream is frozen ends once, at its deadline', async (t) => {
	const host = await startFleetHost('abdali-2', 'payables');
	t.after(host.stop);
	await waitUntilServed(invoices);
	const {total} = await readRuns(host);
	host.upstream!.child.kill('SIGSTOP');
	const startedAt = performance.now();
	const {outcome} = await call(invoices);
	const tookMs = performance.now() - startedAt;
	host.upstream!.child.kill('SIGCONT');
	assert.equal(outcome, 'unknown');
	assert.ok(tookMs < 4000, `took ${tookMs} ms`);
	await waitUntilServed(invoices);
	const runs = await readRuns(host);
	assert.ok(Object.values(runs.runs).every((count) => count === 1));
	assert.ok(runs.total <= total + 3);
});

test('an invoice whose gate is frozen for a second is answered, having run once', async (t) => {
	const host = await startFleetHost('abdali-3', 'payables');
	t.after(host.stop);
	await waitUntilServed(invoices);
	host.node.child.kill('SIGSTOP');
	const pending = call(invoices);
	await delay(1000);
	host.node.child.kill('SIGCONT');
	const {outcome, reason, requestId} = await pending;
	assert.deepEqual({outcome, reason}, {outcome: 'answered', reason: undefined});
	const {runs} = await readRuns(host);
	assert.equal(runs[requestId!], 1);
});

test('two requests with one idempotency key run once and get the same answer', async (t) => {
	const host = await startFleetHost('abdali-4', 'payables');
	t.after(host.stop);
	await waitUntilServed(invoices);
	const [first, second] = await Promise.all([
		call(invoices, 'invoice-4711'),
		call(invoices, 'invoice-4711'),
	]);
	const third = await call(invoices, 'invoice-4711');
	assert.equal(first.requestId, second.requestId);
	assert.equal(first.requestId, third.requestId);
	const {runs} = await readRuns(host);
	assert.equal(runs[first.requestId!], 1);
});

test('a truncated answer is never passed on as whole', async (t) => {
	const host = await startFleetHost('abdali-5', 'payables');
	t.after(host.stop);
	await waitUntilServed(invoices);
	await setBehaviour(host, {truncate: true});
	const {status, outcome} = await call(invoices);
	assert.deepEqual({status, outcome}, {status: 504, outcome: 'unknown'});
});

test('planned stops of node and upstream under load cut no request', async (t) => {
	const [stopped, other] = await Promise.all([
		startFleetHost('abdali-6', 'payables'),
		startFleetHost('abdali-7', 'payables'),
	]);
	t.after(async () => Promise.all([stopped.stop(), other.stop()]));
	await waitUntilServed(invoices);
	await delay(1500);
	const load = startLoad(invoices, 6);
	await delay(500);
	await stopped.upstream!.stop();
	await delay(300);
	await stopped.node.stop();
	await delay(300);
	await load.stop();
	assert.deepEqual(Object.keys(countByOutcome(load.answers)), ['answered']);
	const runs = await readRuns(other);
	assert.ok(Object.values(runs.runs).every((count) => count === 1));
});

test('a node stopped with its upstream in use cuts no request', async (t) => {
	const [stopped, other] = await Promise.all([
		startFleetHost('abdali-8', 'payables'),
		startFleetHost('abdali-9', 'payables'),
	]);
	t.after(async () => Promise.all([stopped.stop(), other.stop()]));
	await waitUntilServed(invoices);
	await delay(1500);
	const load = startLoad(invoices, 6);
	await delay(500);
	await stopped.node.stop();
	await delay(300);
	await load.stop();
	assert.deepEqual(Object.keys(countByOutcome(load.answers)), ['answered']);
});

test('lookups go on when a host is killed', async (t) => {
	const [killed, other] = await Promise.all([
		startFleetHost('abdali-10', 'pricebook'),
		startFleetHost('abdali-11', 'pricebook'),
	]);
	t.after(async () => Promise.all([killed.stop(), other.stop()]));
	await waitUntilServed(prices);
	await delay(1500);
	const load = startLoad(prices, 6);
	await delay(300);
	await Promise.all([killed.node.kill(), killed.upstream!.kill()]);
	await delay(1000);
	await load.stop();
	assert.deepEqual(Object.keys(countByOutcome(load.answers)), ['answered']);
});
