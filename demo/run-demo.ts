#!/usr/bin/env node
/**
 * Demonstration: two data centres of Costline Hosting as separate processes,
 * from a submitted manifest to requests served while a host stops.
 */
import process from 'node:process';
import {request} from 'undici';
import {pollUntil} from '../harness/poll-until.js';
import type {Host} from '../harness/start-host.js';
import {listProcesses} from '../harness/list-processes.js';
import {stopProcesses} from '../harness/stop-processes.js';
import {callService} from './call-service.js';
import {createCostlineManifest} from './costline-manifest.js';
import {runLoad} from './run-load.js';
import {runOperatorCommand} from './run-operator-command.js';
import {startFleet} from './start-fleet.js';

const timeLimitMs = 45_000;
const startedAt = performance.now();

function print(line: string): void {
	const seconds = (performance.now() - startedAt) / 1000;
	console.log(`${seconds.toFixed(1).padStart(5)} s  ${line}`);
}

async function countMembers(host: Host): Promise<number> {
	const url = `http://${host.node.ready.administration}/members`;
	const {body} = await request(url);
	const members: unknown = await body.json();
	return Array.isArray(members) ? members.length : 0;
}

async function waitFor(
	what: string,
	condition: () => Promise<boolean>,
): Promise<void> {
	if (!(await pollUntil(condition, 15_000))) {
		throw new Error(`${what}: not within 15 s`);
	}
}

async function waitForRoutes(hosts: readonly Host[]): Promise<void> {
	await waitFor('routes live on every host', async () => {
		const calls = await Promise.all(
			hosts.flatMap((host) => [
				callService(host, 'GET', '/kitchens/prices/lamb'),
				callService(host, 'GET', '/kitchens/stock/lamb'),
			]),
		);
		return calls.every(({status}) => status === 200);
	});
}

async function showUpdateUnderLoad(hosts: readonly Host[]): Promise<void> {
	const [first, ...others] = hosts;
	const leaving = others.at(-1)!;
	const node = ['--node', first!.node.ready.administration!];
	const stopping = new AbortController();
	const load = runLoad(hosts.slice(0, -1), stopping.signal);
	try {
		await runOperatorCommand(
			['submit', '-', ...node],
			'ok',
			createCostlineManifest(1, 3000),
		);
		await runOperatorCommand(['status', '2', '--wait', '15', ...node], 'ok');
		print(`stopping host ${leaving.name} under load`);
		await leaving.stop();
		print(`host ${leaving.name} has stopped gracefully`);
	} finally {
		stopping.abort();
	}

	const {sent, lost} = await load;
	const lostCount = [...lost.values()].reduce((sum, count) => sum + count, 0);
	print(`load: ${sent} requests, ${lostCount} lost`);
	if (lostCount > 0) {
		throw new Error(`lost: ${JSON.stringify([...lost])}`);
	}
}

async function runDemo(): Promise<void> {
	const {hosts} = await startFleet();
	print(`started the platform and ${hosts.length} hosts in 2 data centres`);
	print(`processes: ${listProcesses().join(' ')}`);
	const [first, , third] = hosts;
	const last = hosts.at(-1)!;
	const node = ['--node', first!.node.ready.administration!];
	await waitFor(
		'members known',
		async () => (await countMembers(first!)) === hosts.length,
	);

	await runOperatorCommand(
		['submit', '-', ...node],
		'ok',
		createCostlineManifest(0),
	);
	await runOperatorCommand(['status', '1', '--wait', '15', ...node], 'ok');
	await waitForRoutes(hosts);
	print('routes are live on every host');

	const lookup = await callService(last, 'GET', '/kitchens/prices/lamb');
	print(`lookup at ${last.name}: ${lookup.status} from ${lookup.upstream}`);
	const post = await callService(first!, 'POST', '/kitchens/invoices');
	print(
		`invoice post at ${first!.name}: ${post.status} from ${post.upstream}, runs: ${post.runs}`,
	);
	if (post.status !== 200 || post.runs !== 1) {
		throw new Error('the invoice post did not run once');
	}

	await runOperatorCommand(
		['explain', 'GET', '/kitchens/prices/lamb', ...node],
		'ok',
	);
	await runOperatorCommand(
		['submit', '-', '--node', third!.node.ready.administration!],
		'refused',
		{...createCostlineManifest(1), services: {}},
	);
	await showUpdateUnderLoad(hosts);
}

/** Rejects at the time limit, or when a signal asks for the end. */
async function waitForEnd(): Promise<never> {
	return new Promise((_resolve, reject) => {
		setTimeout(() => {
			reject(new Error(`not done within ${timeLimitMs / 1000} s`));
		}, timeLimitMs).unref();
		for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
			process.on(signal, () => {
				reject(new Error(`interrupted by ${signal}`));
			});
		}
	});
}

async function runWithinLimits(): Promise<string | undefined> {
	try {
		await Promise.race([runDemo(), waitForEnd()]);
		return undefined;
	} catch (error) {
		return error instanceof Error ? error.message : String(error);
	}
}

const failure = await runWithinLimits();
const left = await stopProcesses();
const problem =
	failure ??
	(left.length > 0 ? `processes left: ${left.join(' ')}` : undefined);
console.log(problem ? `demo: failed: ${problem}` : 'demo: ok');
process.exit(problem ? 1 : 0);
