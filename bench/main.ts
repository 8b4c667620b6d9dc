#!/usr/bin/env node
/**
 * Runs a benchmark: `npm run bench -- NAME [OPTIONS]`.
 */
import process from 'node:process';

type Benchmark = (argv: readonly string[]) => Promise<void>;

const benchmarks: Readonly<Record<string, () => Promise<Benchmark>>> = {
	async profile() {
		const {profileRequests} = await import('./profile-requests.js');
		return profileRequests;
	},
	async cost() {
		const {benchRequestCost} = await import('./request-cost.js');
		return benchRequestCost;
	},
	async uploads() {
		const {benchUploads} = await import('./uploads.js');
		return benchUploads;
	},
	async config() {
		const {benchConfig} = await import('./config.js');
		return benchConfig;
	},
	async requests() {
		const {benchRequests} = await import('./requests.js');
		return benchRequests;
	},
	async shortage() {
		const {benchShortage} = await import('./shortage.js');
		return benchShortage;
	},
	async shedding() {
		const {benchShedding} = await import('./shedding.js');
		return benchShedding;
	},
	async members() {
		const {benchMembers} = await import('./members.js');
		return benchMembers;
	},
};

const [name = '', ...argv] = process.argv.slice(2);
const load = benchmarks[name];
if (load) {
	const run = await load();
	try {
		await run(argv);
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		console.error(`bench ${name} failed: ${reason}`);
		// What the benchmark has started in this process ends with it.
		process.exit(1);
	}
} else {
	console.error(`benchmarks: ${Object.keys(benchmarks).join(', ')}`);
	process.exitCode = 2;
}
