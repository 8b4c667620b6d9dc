/**
 * Demonstration: two data centres of Costline Hosting as separate processes,
 * from a submitted manifest to requests served while a host stops.
 */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {request} from 'undici';
import {z} from 'zod';
import {pollUntil} from '../harness/poll-until.js';
import {startHost, type Host} from '../harness/start-host.js';
import {startProcess, type FleetProcess} from '../harness/start-process.js';
import {
	submissionOutcomeSchema,
	type SubmissionOutcome,
} from '../src/protocol/configuration.js';
import {createCostlineManifest} from './costline-manifest.js';

const statusSchema = z.object({
	state: z.string(),
	dataCentres: z.array(z.unknown()),
});
const echoSchema = z.object({
	upstream: z.string().default(''),
	runs: z.number().default(0),
});

type Answer = {
	readonly status: number;
	readonly body: z.infer<typeof echoSchema>;
};

const timeLimitMs = 55_000;
const services = ['pricebook', 'payables', 'pantry'];
const running: Array<{stop(): Promise<unknown>}> = [];

function check(isTrue: boolean, message: string): void {
	if (!isTrue) {
		throw new Error(message);
	}
}

async function submit(
	host: Host,
	manifest: unknown,
): Promise<SubmissionOutcome> {
	const {body} = await request(
		`http://${host.node.ready.administration}/manifests`,
		{
			method: 'POST',
			headers: {'idempotency-key': randomUUID()},
			body: JSON.stringify(manifest),
		},
	);
	return submissionOutcomeSchema.parse(await body.json());
}

async function isInForce(host: Host, version: number): Promise<boolean> {
	const {body} = await request(
		`http://${host.node.ready.administration}/status/${version}`,
	);
	const status = statusSchema.parse(await body.json());
	return status.state === 'in-force' && status.dataCentres.length === 2;
}

async function call(
	host: Host,
	method: 'GET' | 'POST',
	path: string,
): Promise<Answer> {
	const {statusCode, body} = await request(
		`http://${host.node.ready.callers}${path}`,
		{
			method,
			...(method === 'POST' && {body: JSON.stringify({amount: 12})}),
		},
	);
	return {status: statusCode, body: echoSchema.parse(await body.json())};
}

async function startFleet(platform: FleetProcess): Promise<Host[]> {
	const hosts: Host[] = [];
	for (const dataCentre of ['abdali', 'marka']) {
		const started = await Promise.all(
			services.map(async (service, index) =>
				startHost({
					name: `${dataCentre}-${index + 1}`,
					dataCentre,
					platformUrl: platform.ready.url!,
					team: 'kitchens',
					service,
				}),
			),
		);
		hosts.push(...started);
	}

	running.push(...hosts);
	return hosts;
}

async function runLoad(
	hosts: readonly Host[],
	until: Promise<unknown>,
): Promise<{sent: number; lost: number}> {
	const done = new AbortController();
	void until.finally(() => {
		done.abort();
	});
	let sent = 0;
	let lost = 0;
	async function runClient(host: Host, index: number): Promise<void> {
		while (!done.signal.aborted) {
			const isPost = index % 2 === 0;
			const path = isPost ? '/kitchens/invoices' : '/kitchens/prices/lamb';
			sent++;
			try {
				const {status} = await call(host, isPost ? 'POST' : 'GET', path);
				lost += status === 200 ? 0 : 1;
			} catch {
				lost++;
			}
		}
	}

	await Promise.all(hosts.map(async (host, index) => runClient(host, index)));
	return {sent, lost};
}

async function runDemo(): Promise<void> {
	const platform = await startProcess('platform', []);
	running.push(platform);
	const hosts = await startFleet(platform);
	const first = hosts[0];
	const fourth = hosts[3];
	console.log(`started: platform and ${hosts.length} hosts in 2 data centres`);

	const accepted = await submit(first!, createCostlineManifest(0));
	check(accepted.kind === 'accepted', JSON.stringify(accepted));
	const startedAt = performance.now();
	check(
		await pollUntil(async () => isInForce(first!, 1), 15_000),
		'version 1 did not come in force',
	);
	const tookMs = Math.round(performance.now() - startedAt);
	console.log(`version 1: accepted, in force after ${tookMs} ms`);

	const ready = await pollUntil(async () => {
		const calls = await Promise.all(
			hosts.flatMap((host) => [
				call(host, 'GET', '/kitchens/prices/lamb'),
				call(host, 'GET', '/kitchens/stock/lamb'),
			]),
		);
		return calls.every(({status}) => status === 200);
	}, 15_000);
	check(ready, 'routes did not become live on every host');
	const lookup = await call(fourth!, 'GET', '/kitchens/prices/lamb');
	console.log(`lookup: ${lookup.status} from ${lookup.body.upstream}`);
	const post = await call(first!, 'POST', '/kitchens/invoices');
	console.log(
		`invoice post: ${post.status} from ${post.body.upstream}, runs ${post.body.runs}`,
	);
	check(post.body.runs === 1, 'the invoice post did not run once');

	const refused = await submit(first!, {
		...createCostlineManifest(1),
		services: {},
	});
	if (refused.kind !== 'refused') {
		throw new Error('a dangling manifest was not refused');
	}

	const [problem] = refused.problems;
	console.log(
		`dangling manifest: refused, ${problem?.place}: ${problem?.message}`,
	);

	const update = (async () => {
		const second = await submit(fourth!, createCostlineManifest(1, 3000));
		check(second.kind === 'accepted', JSON.stringify(second));
		const inForce = await pollUntil(async () => isInForce(first!, 2), 15_000);
		check(inForce, 'version 2 did not come in force');
		await hosts[5]!.stop();
	})();
	const survivors = hosts.slice(0, 5);
	const [load] = await Promise.all([runLoad(survivors, update), update]);
	console.log('version 2: accepted and in force under load; one host stopped');
	console.log(`load: ${load.sent} requests, ${load.lost} lost`);
	check(load.lost === 0, 'requests were lost');
}

async function stopAll(): Promise<void> {
	await Promise.all(running.toReversed().map(async (item) => item.stop()));
}

const timer = setTimeout(() => {
	console.log('demo: failed: time limit');
	process.exitCode = 1;
	void stopAll();
}, timeLimitMs);
try {
	await runDemo();
	await stopAll();
	console.log('demo: ok');
} catch (error) {
	console.log(`demo: failed: ${String(error)}`);
	process.exitCode = 1;
	await stopAll();
} finally {
	clearTimeout(timer);
}
