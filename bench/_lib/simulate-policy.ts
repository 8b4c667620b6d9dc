import {createScheduler} from '../../harness/create-scheduler.js';
import {computePercentile} from './compute-percentile.js';
import {createSimulatedCaller, type Policy} from './create-simulated-caller.js';
import type {HostBehaviour} from './create-simulated-gate.js';
import {createSimulatedHosts} from './create-simulated-hosts.js';

/** A load on ten hosts, one of which may misbehave. */
export type Scenario = {
	readonly name: string;
	/** Offered load as a share of what ten healthy hosts can serve. */
	readonly share: number;
	readonly oneHost: HostBehaviour;
	readonly seconds: number;
};

/** What a policy came to in one run. */
export type PolicyResult = {
	/** Share of the requests that were answered within their deadline. */
	readonly inTime: number;
	/** Of answered requests, ms. */
	readonly p99Ms: number;
	/** Share of the runs whose answer nobody got in time. */
	readonly wasted: number;
	/** Runs for each request. */
	readonly runsPerRequest: number;
};

const hosts = 10;
const callers = 8;
const slots = 6;
const serviceMs = 20;
const deadlineMs = 400;
const msPerSecond = 1000;

/**
 * Simulates requests in virtual time under one policy: the product's decisions
 * with an injected clock and seeded order, no process and no socket.
 *
 * Requests arrive by a Poisson process at eight callers' nodes; ten hosts of
 * six slots serve them in exponential times of 20 ms; the deadline is 400 ms.
 *
 * @param policy - how hosts are picked and retries limited
 * @param scenario - load and misbehaviour
 * @param seed - seed of arrivals, service times and choices
 * @returns the figures of the run
 * @example
 * simulatePolicy(policy, scenario, 1).inTime;
 */
export function simulatePolicy(
	policy: Policy,
	scenario: Scenario,
	seed: number,
): PolicyResult {
	const scheduler = createScheduler(seed);
	const {now, random} = scheduler;
	const {candidates, gates} = createSimulatedHosts({
		scheduler,
		slots,
		serviceMs,
		behaviours: Array.from({length: hosts}, (_, index) =>
			index === 0 ? scenario.oneHost : 'healthy',
		),
		hasAdmission: policy.hasAdmission,
	});
	const nodes = Array.from({length: callers}, () =>
		createSimulatedCaller({scheduler, policy, candidates, gates, deadlineMs}),
	);
	const gapMs = serviceMs / (hosts * slots * scenario.share);
	const latencies: number[] = [];
	let sent = 0;

	function arrive(): void {
		const startedAt = now();
		if (startedAt > scenario.seconds * msPerSecond) {
			return;
		}

		sent++;
		nodes[Math.floor(random() * callers)]!.request('kitchens', (outcome) => {
			if (outcome === 'answered') {
				latencies.push(now() - startedAt);
			}
		});
		scheduler.schedule(-Math.log(1 - random()) * gapMs, arrive);
	}

	arrive();
	scheduler.runUntil((scenario.seconds + 10) * msPerSecond);
	const inTime = latencies.filter((latency) => latency <= deadlineMs).length;
	const runs = [...gates.values()].reduce(
		(sum, gate) => sum + gate.readRuns(),
		0,
	);
	return {
		inTime: inTime / sent,
		p99Ms: computePercentile(latencies, 99),
		wasted: Math.max(0, runs - inTime) / Math.max(1, runs),
		runsPerRequest: runs / sent,
	};
}
