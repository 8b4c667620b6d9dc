/**
 * Profiles the nodes on the way of a request: `npm run bench -- profile`.
 */
import {mkdtemp, readdir, readFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {formatComparison} from './_lib/format-comparison.js';
import {runLoad} from './_lib/run-load.js';
import {startChain} from './_lib/start-chain.js';
import {summarizeProfile} from './_lib/summarize-profile.js';

const shownRows = 18;

/**
 * Runs calls one deep at low load with the processor profiler on in both
 * nodes, and prints where each spends its time.
 *
 * @example
 * await profileRequests();
 */
export async function profileRequests(): Promise<void> {
	const folder = await mkdtemp(path.join(tmpdir(), 'boragehitch-profile-'));
	const chain = await startChain({
		depth: 1,
		hostsPerService: 1,
		serviceMs: 1,
		deadlineMs: 2000,
		runtimeArguments: ['--cpu-prof', '--cpu-prof-dir', folder],
	});
	const reports = await runLoad({
		seed: 1,
		rounds: 15,
		phaseMs: 1000,
		phases: [
			[{label: 'direct', urls: chain.firstUrls}],
			[{label: 'mesh', urls: [`${chain.edgeUrl}/bench/s1`]}],
		],
	});
	await chain.stop();
	console.log(formatComparison('profiled', reports));
	for (const file of await readdir(folder)) {
		const text = await readFile(path.join(folder, file), 'utf8');
		const summary = summarizeProfile(JSON.parse(text));
		console.log(`${file}: busy ${(summary.busyShare * 100).toFixed(1)} %`);
		for (const rows of [summary.byModule, summary.byFunction]) {
			for (const {name, share} of rows.slice(0, shownRows)) {
				console.log(`  ${(share * 100).toFixed(1)} %\t${name}`);
			}
		}
	}
}
