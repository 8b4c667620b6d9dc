import process from 'node:process';
import {startProcess} from '../../harness/start-process.js';
import {naivePrefix, startNaiveNode} from '../../naive/start-naive-node.js';
import {createByteCounter} from '../../src/transport/_lib/create-byte-counter.js';
import {createStoreClient} from '../../platform/create-store-client.js';
import {createLogger} from '../../src/transport/create-logger.js';
import type {ConfigFleet} from './config-fleet.js';
import {createTeamManifest} from './create-team-manifest.js';
import {readPlatformCalls} from './read-platform-calls.js';
import {readProcessUsage} from './read-process-usage.js';

/**
 * Starts a fleet of the naive way: watchers with sockets of their own, all in
 * this process.
 *
 * @param nodes - number of watchers
 * @returns the fleet
 * @example
 * const fleet = await startNaiveFleet(10);
 */
export async function startNaiveFleet(nodes: number): Promise<ConfigFleet> {
	const platform = await startProcess('platform', []);
	const platformUrl = platform.ready.url!;
	const writer = createStoreClient(new URL(platformUrl).host, {
		logger: createLogger('error', 'bench'),
	});
	const versions = new Map<string, number>();
	let lastChange = 0;

	function startWatcher() {
		const runs = new Map<number, number>();
		const node = startNaiveNode(platformUrl, (change) => {
			if (!runs.has(change)) {
				runs.set(change, Date.now());
			}
		});
		return {runs, node};
	}

	let watchers = Array.from({length: nodes}, startWatcher);
	return {
		way: 'naive',
		reality: `${nodes} watchers in one process over real sockets, the platform stand-in is real; processor time is that of the process divided by the watchers`,
		async change(team) {
			const number = ++lastChange;
			const version = versions.get(team) ?? 0;
			const outcome = await writer.writeObject(
				`${naivePrefix}${team}`,
				{change: number, manifest: createTeamManifest(team, number)},
				version === 0 ? {kind: 'absent'} : {kind: 'version', version},
			);
			if (outcome.kind !== 'written') {
				throw new Error(`naive change: ${outcome.kind}`);
			}

			versions.set(team, outcome.version);
			return {number, acceptedAt: Date.now()};
		},
		readRuns: () => watchers.map(({runs}) => runs),
		async readNodes() {
			const usage = await readProcessUsage(process.pid);
			return watchers.map(({node}) => ({
				controlBytes: node.readBytes(),
				cpuMs: usage.cpuMs / nodes,
				rssBytes: usage.rssBytes / nodes,
			}));
		},
		readPlatformCalls: async () => readPlatformCalls(platformUrl),
		async restart(share) {
			const count = Math.max(1, Math.round(nodes * share));
			const gone = watchers.slice(0, count);
			watchers = [
				...watchers.slice(count),
				...Array.from({length: count}, startWatcher),
			];
			await Promise.all(gone.map(async ({node}) => node.stop()));
		},
		async stop() {
			await Promise.all(watchers.map(async ({node}) => node.stop()));
			await writer.stop();
			await platform.stop();
		},
	};
}
