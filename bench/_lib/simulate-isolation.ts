import {createScheduler} from '../../harness/create-scheduler.js';
import {computePercentile} from './compute-percentile.js';
import {createSimulatedCaller} from './create-simulated-caller.js';
import {createSimulatedHosts} from './create-simulated-hosts.js';

/** What isolation came to in one run. */
export type IsolationResult = {
	/** Of the quiet team's answered requests, ms. */
	readonly quietP99Ms: number;
	/** Share of the quiet team's requests that were answered. */
	readonly quietAnswered: number;
	/** Requests of the noisy team answered a second. */
	readonly noisyPerSecond: number;
};

const hosts = 2;
const slots = 6;
const serviceMs = 40;
const deadlineMs = 800;
const seconds = 20;
const msPerSecond = 1000;
const noisyStartMs = 5000;
const capacity = (hosts * slots * msPerSecond) / serviceMs;

/**
 * Simulates a quiet team beside a noisy one in virtual time, over the
 * product's decisions: two hosts of six slots, 40 ms a request, the quiet team at 0.3 of the capacity.
 *
 * @param noisyShare - load of the noisy team as a share of the capacity
 * @param seed - seed of arrivals, service times and choices
 * @returns the figures of the run
 * @example
 * simulateIsolation(5, 1).quietP99Ms;
 */
export function simulateIsolation(
	noisyShare: number,
	seed: number,
): IsolationResult {
	const scheduler = createScheduler(seed);
	const {now, random} = scheduler;
	const {candidates, gates} = createSimulatedHosts({
		scheduler,
		slots,
		serviceMs,
		serviceTimes: 'fixed',
		behaviours: Array.from({length: hosts}, () => 'healthy'),
		hasAdmission: true,
	});
	const policy = {
		name: 'chosen',
		pick: 'chosen',
		hasBudget: true,
		hasAdmission: true,
	} as const;
	const latencies = {quiet: [] as number[], noisy: [] as number[]};
	const sent = {quiet: 0, noisy: 0};

	function startTeam(team: 'quiet' | 'noisy', share: number): void {
		const node = createSimulatedCaller({
			scheduler,
			policy,
			candidates,
			gates,
			deadlineMs,
		});
		const gapMs = msPerSecond / (capacity * share);
		function arrive(): void {
			const startedAt = now();
			if (startedAt > seconds * msPerSecond) {
				return;
			}

			sent[team]++;
			node.request(team, (outcome) => {
				if (outcome === 'answered') {
					latencies[team].push(now() - startedAt);
				}
			});
			scheduler.schedule(-Math.log(1 - random()) * gapMs, arrive);
		}

		arrive();
	}

	startTeam('quiet', 0.3);
	if (noisyShare > 0) {
		scheduler.schedule(noisyStartMs, () => {
			startTeam('noisy', noisyShare);
		});
	}

	scheduler.runUntil((seconds + 2) * msPerSecond);
	return {
		quietP99Ms: computePercentile(latencies.quiet, 99),
		quietAnswered: latencies.quiet.length / sent.quiet,
		noisyPerSecond: latencies.noisy.length / seconds,
	};
}
