import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {z} from 'zod';
import {startHost, type Host} from '../../harness/start-host.js';
import {startProcess} from '../../harness/start-process.js';
import {readProcessUsage} from './read-process-usage.js';

/** What was measured on real processes. */
export type RealMembers = {
	readonly hosts: number;
	readonly quietBytesPerSecond: number;
	readonly quietCpuMsPerSecond: number;
	readonly rssBytes: number;
	readonly startKnownMs: number;
	readonly leaveKnownMs: number;
	readonly deathKnownMs: number;
};

const membersSchema = z.array(
	z.object({
		name: z.string(),
		state: z.string(),
		upstreams: z.array(z.object({state: z.string()})),
	}),
);

type ShownMember = z.infer<typeof membersSchema>[number];

const measuredMs = 15_000;
const pollMs = 50;
const longestWaitMs = 60_000;

async function readMembers(host: Host): Promise<readonly ShownMember[]> {
	const url = `http://${host.node.ready.administration}/members`;
	const {body} = await request(url);
	return membersSchema.parse(await body.json());
}

async function waitForAll(
	hosts: readonly Host[],
	isKnown: (members: readonly ShownMember[]) => boolean,
): Promise<number> {
	const startedMs = performance.now();
	while (performance.now() - startedMs < longestWaitMs) {
		const views = await Promise.all(
			hosts.map(async (host) => readMembers(host)),
		);
		if (views.every((view) => isKnown(view))) {
			break;
		}

		await delay(pollMs);
	}

	return Math.round(performance.now() - startedMs);
}

/** Reads the bytes that a process has read and written, sockets included. */
async function readTransferredBytes(pid: number): Promise<number> {
	const text = await readFile(`/proc/${pid}/io`, 'utf8');
	const read = Number(/^rchar: (\d+)$/mv.exec(text)?.[1] ?? 0);
	const written = Number(/^wchar: (\d+)$/mv.exec(text)?.[1] ?? 0);
	return read + written;
}

async function readUsages(hosts: readonly Host[]) {
	return Promise.all(
		hosts.map(async ({node}) => {
			const pid = node.child.pid!;
			const usage = await readProcessUsage(pid);
			return {...usage, bytes: await readTransferredBytes(pid)};
		}),
	);
}

/**
 * Measures real nodes with an upstream each, in one data centre: whole
 * processes, with configuration polls and announcements besides the members.
 *
 * @param count - number of hosts
 * @returns means of a node
 * @example
 * await measureRealMembers(12);
 */
export async function measureRealMembers(count: number): Promise<RealMembers> {
	const platform = await startProcess('platform', []);
	const startedMs = performance.now();
	const hosts = await Promise.all(
		Array.from({length: count}, async (_, index) =>
			startHost({
				name: `dc-0-host-${index}`,
				dataCentre: 'dc-0',
				platformUrl: platform.ready.url!,
				team: 'kitchens',
				service: 'pricebook',
			}),
		),
	);
	await waitForAll(
		hosts,
		(members) =>
			members.filter(({upstreams}) => upstreams.length > 0).length === count,
	);
	const startKnownMs = Math.round(performance.now() - startedMs);
	await delay(5000);
	const before = await readUsages(hosts);
	await delay(measuredMs);
	const after = await readUsages(hosts);
	const [leaving, dying, ...rest] = hosts;
	const stopped = leaving!.upstream!.stop();
	const leaveKnownMs = await waitForAll(hosts, (members) =>
		members
			.filter(({name}) => name === leaving!.name)
			.every(({upstreams}) =>
				upstreams.every(({state}) => state === 'leaving'),
			),
	);
	await stopped;
	await dying!.node.kill();
	const deathKnownMs = await waitForAll([leaving!, ...rest], (members) =>
		members.some(({name, state}) => name === dying!.name && state === 'dead'),
	);
	await dying!.upstream!.kill();
	await Promise.all([leaving!, ...rest].map(async (host) => host.stop()));
	await platform.stop();
	const seconds = measuredMs / 1000;
	const mean = (values: readonly number[]) =>
		values.reduce((sum, value) => sum + value, 0) / values.length;
	return {
		hosts: count,
		quietBytesPerSecond:
			mean(after.map(({bytes}, index) => bytes - before[index]!.bytes)) /
			seconds,
		quietCpuMsPerSecond:
			mean(after.map(({cpuMs}, index) => cpuMs - before[index]!.cpuMs)) /
			seconds,
		rssBytes: mean(after.map(({rssBytes}) => rssBytes)),
		startKnownMs,
		leaveKnownMs,
		deathKnownMs,
	};
}
