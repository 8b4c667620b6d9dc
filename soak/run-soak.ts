import {createHash} from 'node:crypto';
import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {platformDocument} from '../fakes/platform-document.js';
import {startPlatform, type Platform} from '../fakes/platform-stand-in.js';
import {createSilentLogger} from '../harness/create-silent-logger.js';
import {createStoreClient} from '../platform/create-store-client.js';
import {findBrokenPromises} from './_lib/find-broken-promises.js';
import type {History} from './_lib/history.js';
import {
	planDisturbances,
	type PlannedDisturbance,
	type SoakProfile,
} from './_lib/plan-disturbances.js';
import {startSoakHost, type SoakHost} from './_lib/soak-host.js';
import type {LoadReport} from './_lib/soak-upstream.js';
import {startClients} from './_lib/start-clients.js';

/** Options of `runSoak`. */
export type SoakOptions = {
	readonly seed: number;
	/** Which disturbances; `all` when absent. */
	readonly profile?: SoakProfile;
	/** Hosts, in two data centres; 5 when absent. */
	readonly hosts?: number;
	/** Time in which disturbances begin, ms; 20,000 when absent. */
	readonly durationMs?: number;
	/** Mean time between two disturbances, ms; 700 when absent. */
	readonly meanGapMs?: number;
	/** Where the nodes' lines go; a new folder when absent. */
	readonly logFolder?: string;
	/** Second and third number of the hosts' loopback addresses; runs beside each other need their own. */
	readonly network?: string;
};

/** Result of a run. */
export type SoakResult = {
	/** One line for each broken promise; none when all is well. */
	readonly problems: readonly string[];
	readonly logFolder: string;
	readonly requests: number;
	readonly served: number;
	readonly disturbances: number;
};

/** Time until the nodes know each other, ms. */
const startMs = 4000;

/** Time after the last disturbance, ms: the bound of recovery, and some to look at it. */
const calmMs = 18_000;

/** Least time of an upstream's fault, ms: its limit is judged from three seconds on. */
const statementMs = 6000;

/** Load of a profile: clients of a host, and how long upstreams work on their requests, ms. */
type Load = {
	readonly clients: number;
	readonly minServiceMs: number;
	readonly maxServiceMs: number;
	/** How the upstreams of the hosts report their load, in turn. */
	readonly loadReports: readonly LoadReport[];
};

const loads: Readonly<Record<SoakProfile, Load>> = {
	all: {
		clients: 3,
		minServiceMs: 15,
		maxServiceMs: 15,
		loadReports: ['last-only', 'with-answered', 'without-answered'],
	},
	// Some take until the timeout of their route, so that a stop finds requests at work at any point.
	planned: {
		clients: 5,
		minServiceMs: 20,
		maxServiceMs: 1100,
		loadReports: ['last-only'],
	},
};

/** Returns the function that gives a request's time at its upstream, ms: short times are more frequent, and the last disturbance ends the long ones. */
function createServiceTime(
	seed: number,
	{minServiceMs, maxServiceMs}: Load,
	history: History,
): (id: string) => number {
	return (id) => {
		if (history.calmFrom < Number.POSITIVE_INFINITY) {
			return minServiceMs;
		}

		const bytes = createHash('sha256').update(`${seed} ${id}`).digest();
		const share = bytes.readUInt32BE() / 2 ** 32;
		return minServiceMs + (maxServiceMs - minServiceMs) * share ** 3;
	};
}

type Fleet = {
	readonly platform: Platform;
	readonly hosts: readonly SoakHost[];
	readonly writeConfiguration: () => Promise<void>;
};

/** Creates the writer of the operator's configuration, a version at each call. */
function createConfigurationWriter(address: string) {
	const store = createStoreClient(address, {logger: createSilentLogger()});
	let version = 6;
	return async (): Promise<void> => {
		version++;
		const value = {
			...platformDocument,
			version: version.toString(16).padStart(8, '0'),
		};
		const known = await store.readObject('config/main');
		await store.writeObject(
			'config/main',
			value,
			known.kind === 'found'
				? {kind: 'version', version: known.object.version}
				: {kind: 'absent'},
		);
	};
}

/** Tells whether a disturbance is planned work, or a lack of processor time, around which no request may be lost. */
function isPlannedWork({disturbance: {kind}}: PlannedDisturbance): boolean {
	switch (kind) {
		case 'restart':
		case 'reload':
		case 'configuration':
		case 'starve': {
			return true;
		}

		case 'new-life':
		case 'kill':
		case 'freeze':
		case 'upstream':
		case 'link':
		case 'store': {
			return false;
		}
	}
}

/** Carries out a disturbance, to its end. */
async function disturb(
	{platform, hosts, writeConfiguration}: Fleet,
	{disturbance, durationMs}: PlannedDisturbance,
): Promise<void> {
	switch (disturbance.kind) {
		case 'restart': {
			await hosts[disturbance.host]!.restart();
			break;
		}

		case 'reload': {
			await hosts[disturbance.host]!.reload();
			break;
		}

		case 'new-life': {
			hosts[disturbance.host]!.upstream.restart();
			break;
		}

		case 'kill': {
			await hosts[disturbance.host]!.kill(durationMs / 2);
			break;
		}

		case 'freeze': {
			await hosts[disturbance.host]!.freeze(durationMs);
			break;
		}

		case 'starve': {
			await hosts[disturbance.host]!.starve(durationMs);
			break;
		}

		case 'upstream': {
			const {upstream} = hosts[disturbance.host]!;
			upstream.setFault(disturbance.fault);
			await sleep(durationMs + statementMs);
			if (disturbance.fault.kind === 'leave') {
				upstream.restart();
			} else {
				upstream.setFault({kind: 'none'});
			}

			break;
		}

		case 'link': {
			const {storeLink, upstreamLink} = hosts[disturbance.host]!;
			const link = disturbance.link === 'store' ? storeLink : upstreamLink;
			link.setMode(disturbance.mode);
			await sleep(durationMs);
			link.setMode({kind: 'pass'});
			break;
		}

		case 'store': {
			const {fault} = disturbance;
			platform.setFaults({
				down: fault === 'down',
				delayMs: fault === 'slow' ? 600 : 0,
				loseAnswers: fault === 'lose-answers' ? 3 : 0,
			});
			await sleep(durationMs);
			platform.setFaults({});
			break;
		}

		case 'configuration': {
			await writeConfiguration();
			break;
		}
	}
}

/**
 * Runs a fleet of real nodes as processes under seeded disturbances, and judges
 * it by what its clients and upstreams saw.
 *
 * @param options - see `SoakOptions`
 * @returns what was broken, and how much was sent and served
 */
export async function runSoak({
	seed,
	profile = 'all',
	hosts: hostCount = 5,
	durationMs = 20_000,
	meanGapMs = 700,
	network = '90.1',
	logFolder: givenFolder,
}: SoakOptions): Promise<SoakResult> {
	const now = (): number => performance.now();
	const history: History = {
		clients: [],
		upstreams: [],
		statements: [],
		disturbances: [],
		faults: [],
		crashes: [],
		calmFrom: Number.POSITIVE_INFINITY,
	};
	const logFolder =
		givenFolder ??
		(await mkdtemp(path.join(tmpdir(), `boragehitch-soak-${seed}-`)));
	const platform = await startPlatform();
	const storeAddress = new URL(platform.url).host;
	const writeConfiguration = createConfigurationWriter(storeAddress);
	await writeConfiguration();
	const load = loads[profile];
	const readServiceTime = createServiceTime(seed, load, history);
	const hosts = await Promise.all(
		Array.from({length: hostCount}, async (_, index) =>
			startSoakHost({
				name: `host-${index}`,
				dataCentre: index % 2 === 0 ? 'abdali' : 'marka',
				ip: `127.${network}.${index + 1}`,
				storeAddress,
				loadReport: load.loadReports[index % load.loadReports.length]!,
				readServiceTime,
				logFolder,
				history,
				now,
			}),
		),
	);
	await sleep(startMs);
	const clients = hosts.map(({name: host, callers: address}) =>
		startClients({host, address, count: load.clients, history, now}),
	);
	const fleet = {platform, hosts, writeConfiguration};
	const plan = planDisturbances({
		seed,
		profile,
		hosts: hostCount,
		durationMs,
		meanGapMs,
	});
	await Promise.all(
		plan.map(async (planned) => {
			await sleep(planned.at);
			const from = now();
			await disturb(fleet, planned);
			if (!isPlannedWork(planned)) {
				history.faults.push({from, until: now()});
			}
		}),
	);
	history.calmFrom = now();
	await sleep(calmMs);
	await Promise.all(clients.map(async ({stop}) => stop()));
	await Promise.all(hosts.map(async (host) => host.stop()));
	await platform.stop();
	return {
		logFolder,
		problems: findBrokenPromises(history),
		requests: history.clients.length,
		served: history.clients.filter(({status}) => status === 200).length,
		disturbances: plan.length,
	};
}
