import {randomUUID} from 'node:crypto';
import {request} from 'undici';
import {z} from 'zod';
import {pollUntil} from '../../harness/poll-until.js';
import {startHost, type Host} from '../../harness/start-host.js';
import {startProcess} from '../../harness/start-process.js';
import type {ConfigFleet, NodeReading} from './config-fleet.js';
import {createTeamManifest} from './create-team-manifest.js';
import {readPlatformCalls} from './read-platform-calls.js';
import {readProcessUsage} from './read-process-usage.js';

const healthSchema = z.object({version: z.number(), controlBytes: z.number()});
const acceptedSchema = z.object({version: z.number(), revision: z.number()});
const readyTimeoutMs = 60_000;
const startsAtOnce = 4;

type RunLog = {readonly host: Host; readonly runs: Map<number, number>};

function recordRuns(host: Host): RunLog {
	const runs = new Map<number, number>();
	let rest = '';
	host.node.child.stderr?.on('data', (chunk) => {
		const lines = (rest + String(chunk)).split('\n');
		rest = lines.pop() ?? '';
		for (const line of lines) {
			const match = /"version running".*"version":(\d+)/v.exec(line);
			const at = /"timestamp":"([^"]+)"/v.exec(line)?.[1];
			if (match && at) {
				runs.set(Number(match[1]), Date.parse(at));
			}
		}
	});
	return {host, runs};
}

async function readHealth(host: Host) {
	const {body} = await request(
		`http://${host.node.ready.administration}/health`,
	);
	return healthSchema.parse(await body.json());
}

async function readNode({host}: RunLog): Promise<NodeReading> {
	const {controlBytes} = await readHealth(host);
	return {controlBytes, ...(await readProcessUsage(host.node.child.pid!))};
}

/**
 * Starts a fleet of real node processes in three data centres.
 *
 * @param nodes - number of nodes
 * @returns the fleet, once all nodes know of each other
 * @throws when the nodes do not find each other in time
 * @example
 * const fleet = await startTreeFleet(10);
 */
export async function startTreeFleet(nodes: number): Promise<ConfigFleet> {
	const platform = await startProcess('platform', []);
	const platformUrl = platform.ready.url!;
	const dataCentres = ['abdali', 'sweifieh', 'marka'];
	const revisions = new Map<string, number>();
	let logs: RunLog[] = [];
	let started = 0;

	async function startNext(): Promise<RunLog> {
		const index = started++;
		const host = await startHost({
			name: `node-${index}`,
			dataCentre: dataCentres[index % dataCentres.length]!,
			platformUrl,
			team: 'none',
			logLevel: 'debug',
		});
		return recordRuns(host);
	}

	async function startNodes(count: number): Promise<void> {
		for (let left = count; left > 0; left -= startsAtOnce) {
			const group = await Promise.all(
				Array.from({length: Math.min(left, startsAtOnce)}, startNext),
			);
			logs.push(...group);
		}
	}

	async function waitUntilJoined(): Promise<void> {
		const isJoined = await pollUntil(async () => {
			for (const {host} of logs) {
				const {body} = await request(
					`http://${host.node.ready.administration}/members`,
				);
				const members = z
					.array(z.object({state: z.string()}))
					.parse(await body.json());
				const alive = members.filter(({state}) => state === 'alive');
				if (alive.length < logs.length) {
					return false;
				}
			}

			return true;
		}, readyTimeoutMs);
		if (!isJoined) {
			console.log('warning: not every node knows of every other');
		}
	}

	await startNodes(nodes);
	await waitUntilJoined();
	return {
		way: 'tree',
		reality: `${nodes} node processes and the platform stand-in are real`,
		async change(team) {
			const replaces = revisions.get(team) ?? 0;
			const {host} = logs[(started + replaces) % logs.length]!;
			const {statusCode, body} = await request(
				`http://${host.node.ready.administration}/manifests`,
				{
					method: 'POST',
					headers: {'idempotency-key': randomUUID()},
					body: JSON.stringify(createTeamManifest(team, replaces)),
				},
			);
			const acceptedAt = Date.now();
			const value: unknown = await body.json();
			if (statusCode !== 200) {
				throw new Error(`change not accepted: ${JSON.stringify(value)}`);
			}

			const accepted = acceptedSchema.parse(value);
			revisions.set(team, accepted.revision);
			return {number: accepted.version, acceptedAt};
		},
		readRuns: () => logs.map(({runs}) => runs),
		readNodes: async () => Promise.all(logs.map(async (log) => readNode(log))),
		readPlatformCalls: async () => readPlatformCalls(platformUrl),
		async restart(share) {
			const count = Math.max(1, Math.round(logs.length * share));
			const gone = logs.slice(0, count);
			logs = logs.slice(count);
			await Promise.all(gone.map(async ({host}) => host.node.kill()));
			await startNodes(count);
		},
		async stop() {
			await Promise.all(logs.map(async ({host}) => host.node.kill()));
			await platform.stop();
		},
	};
}
