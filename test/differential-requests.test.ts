import assert from 'node:assert/strict';
import test from 'node:test';
import {request} from 'undici';
import {z} from 'zod';
import {createCostlineManifest} from '../demo/costline-manifest.js';
import {createScheduler} from '../harness/create-scheduler.js';
import {pollUntil} from '../harness/poll-until.js';
import {startHost, type Host} from '../harness/start-host.js';
import {startProcess} from '../harness/start-process.js';
import {startNaiveProxy} from '../naive/start-naive-proxy.js';

const echoSchema = z.object({
	service: z.string(),
	path: z.string(),
	method: z.string(),
	bodyBytes: z.number(),
	runs: z.number(),
});
const {random} = createScheduler(11);
const draw = (count: number) => Math.floor(random() * count);
const paths = ['/kitchens/prices', '/kitchens/invoices', '/kitchens/stock'];

type Call = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body: string | undefined;
};

function createCall(index: number): Call {
	const path = paths[draw(paths.length)]!;
	const other = draw(2) === 0 ? 'GET' : 'POST';
	const method = path.endsWith('prices')
		? 'GET'
		: path.endsWith('invoices')
			? 'POST'
			: other;
	return {
		method: draw(12) === 0 ? other : method,
		path: `${path}/${index}${draw(3) === 0 ? `?page=${draw(9)}` : ''}`,
		body: method === 'POST' ? 'x'.repeat(draw(5000)) : undefined,
	};
}

async function callAt(base: string, {method, path, body}: Call) {
	const answer = await request(`${base}${path}`, {
		method,
		body: method === 'POST' ? body : undefined,
	});
	const text = await answer.body.text();
	return answer.statusCode === 200
		? {status: 200, ...echoSchema.parse(JSON.parse(text))}
		: {status: answer.statusCode};
}

async function isReady(hosts: readonly Host[]): Promise<boolean> {
	for (const {node} of hosts) {
		for (const path of ['/kitchens/prices', '/kitchens/stock']) {
			const {status} = await callAt(`http://${node.ready.callers}`, {
				method: 'GET',
				path,
				body: undefined,
			});
			if (status !== 200) {
				return false;
			}
		}
	}

	return true;
}

test('without faults the nodes answer as a naive proxy does', async (t) => {
	const platform = await startProcess('platform', []);
	t.after(platform.stop);
	const hosts: Host[] = [];
	for (const service of ['pricebook', 'payables', 'pantry', 'pantry']) {
		const host = await startHost({
			name: `abdali-${hosts.length}`,
			dataCentre: 'abdali',
			platformUrl: platform.ready.url!,
			team: 'kitchens',
			service,
		});
		t.after(host.stop);
		hosts.push(host);
	}

	const manifest = createCostlineManifest(0);
	const submitted = await request(
		`http://${hosts[0]!.node.ready.administration}/manifests`,
		{method: 'POST', body: JSON.stringify(manifest)},
	);
	assert.equal(submitted.statusCode, 200);
	assert.ok(await pollUntil(async () => isReady(hosts), 20_000));
	const proxy = await startNaiveProxy(
		manifest.routes.map(({path, methods = [], service}) => ({
			path,
			methods,
			upstreams: hosts
				.filter((host) => host.service === service)
				.map(({upstream}) => upstream!.ready.url!),
		})),
		random,
	);
	t.after(proxy.stop);
	const calls = Array.from({length: 150}, (_, index) => createCall(index));
	const kinds = new Set<number>();
	for (const call of calls) {
		const {node} = hosts[draw(hosts.length)]!;
		const answer = await callAt(`http://${node.ready.callers}`, call);
		// Requests without an identifier share one count of runs.
		const expected = {...(await callAt(proxy.url, call)), runs: 1};
		assert.deepEqual({...answer, runs: 1}, expected);
		assert.ok(!('runs' in answer) || answer.runs === 1);
		kinds.add(answer.status);
	}

	assert.deepEqual(kinds, new Set([200, 404]));
});
