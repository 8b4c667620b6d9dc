import type {CountTable} from '../src/coordination/rollouts/compute-evidence.js';
import {stepRollout} from '../src/coordination/rollouts/step-rollout.js';
import {computeTimeBucket} from '../src/coordination/rollouts/compute-time-bucket.js';
import {pickVersions} from '../src/coordination/rollouts/pick-versions.js';
import {
	timeBuckets,
	type RolloutDirective,
	type VersionCount,
} from '../src/protocol/rollout.js';

/** A request of a simulated roll-out. */
export type SimulatedRequest = {
	readonly route: string;
	/** Part of the order's duration that has passed. */
	readonly elapsedRatio: number;
	/** Requests at its host in the current step. */
	readonly load: number;
	readonly random: () => number;
};

/** Options of `simulateRollout`. */
export type SimulationOptions = {
	readonly durationMs?: number;
	/** Requests per second. */
	readonly rate?: number;
	readonly random: () => number;
	/** Hosts of each version. */
	readonly hosts?: number;
	/** Probability with which a response of either version fails. */
	readonly failureShare?: number;
	/** Tells how the target handles a request: with a failure, and how many times slower. */
	readonly target?: (request: SimulatedRequest) => {
		readonly isFailed?: boolean;
		readonly slowness?: number;
	};
};

/** How a simulated roll-out has ended. */
export type SimulatedRollout = {
	readonly state: RolloutDirective['state'];
	readonly endedAt: number;
	/** Requests that have reached the target until then. */
	readonly exposed: number;
	/** Requests that have reached the service until the deadline. */
	readonly total: number;
	/** Failed responses of the target. */
	readonly failures: number;
};

const stepMs = 250;
const reportEvery = 2;
const routes = [
	{route: 'browse', part: 0.7, workMs: 95},
	{route: 'renewal', part: 0.25, workMs: 133},
	{route: 'digest', part: 0.05, workMs: 400},
] as const;

function pickRoute(random: number): (typeof routes)[number] {
	let rest = random;
	for (const route of routes) {
		rest -= route.part;
		if (rest < 0) {
			return route;
		}
	}

	return routes[0];
}

type Response = Pick<VersionCount, 'version' | 'route'> & {
	readonly host: string;
	readonly isBad: boolean;
	readonly timeMs: number;
};

function countResponse(
	counts: Map<string, VersionCount>,
	{host, version, route, isBad, timeMs}: Response,
): void {
	const key = `${host} ${route}`;
	const count = counts.get(key) ?? {
		service: 'profiles',
		version,
		route,
		responses: 0,
		failures: 0,
		times: Array.from({length: timeBuckets}, () => 0),
	};
	const bucket = computeTimeBucket(timeMs);
	counts.set(key, {
		...count,
		responses: count.responses + 1,
		failures: count.failures + (isBad ? 1 : 0),
		times: count.times.with(bucket, count.times[bucket]! + 1),
	});
}

function groupByHost(counts: ReadonlyMap<string, VersionCount>): CountTable {
	const grouped = new Map<string, readonly VersionCount[]>();
	for (const [key, count] of counts) {
		const [host = ''] = key.split(' ');
		grouped.set(host, [...(grouped.get(host) ?? []), count]);
	}

	return grouped;
}

/**
 * Simulates an order: requests, the counts that gates report every 500 ms, and
 * directives that take a report interval to reach the callers.
 *
 * @param options - see `SimulationOptions`
 * @returns how it has ended
 * @example
 * simulateRollout({random: Math.random}).state; // 'completed'
 */
export function simulateRollout(options: SimulationOptions): SimulatedRollout {
	const {durationMs = 30_000, rate = 200, random, hosts = 10} = options;
	const {failureShare = 0.02, target} = options;
	const own = new Map<string, VersionCount>();
	let reported: CountTable = new Map();
	const directive: RolloutDirective = {
		service: 'profiles',
		order: 'profiles 1',
		target: 'v2',
		state: 'active',
		share: 0,
		remainingMs: durationMs,
		durationMs,
		sequence: 0,
	};
	let progress: Parameters<typeof stepRollout>[0] = {
		directive,
		seenAt: 0,
		fullSince: undefined,
		answeredSince: undefined,
		snapshots: [],
	};
	let applied = directive;
	let exposed = 0;
	let failures = 0;
	let total = 0;
	let endedAt = Number.POSITIVE_INFINITY;
	/** Runs the requests of a step. */
	function runArrivals(now: number): void {
		const loads = new Map<string, number>();
		const arrivals = (rate * stepMs) / 1000;
		total += arrivals;
		for (let index = 0; index < arrivals; index++) {
			const facts = {running: 'v1', directive: applied, isStopped: false};
			const [version = 'v1'] = pickVersions(facts, false, random());
			const isTarget = version === 'v2';
			const used = isTarget ? (applied.hosts ?? hosts) : hosts;
			const host = `${version}-${Math.floor(random() * Math.min(used, hosts))}`;
			const load = (loads.get(host) ?? 0) + 1;
			loads.set(host, load);
			const {route, workMs} = pickRoute(random());
			const elapsedRatio = now / durationMs;
			const handled = isTarget
				? target?.({route, elapsedRatio, load, random})
				: undefined;
			const {isFailed = false, slowness = 1} = handled ?? {};
			const isBad = isFailed || random() < failureShare;
			// Speeds of hosts differ by 0.6 to 1.6.
			const timeMs = (workMs * slowness) / (0.6 + random());
			countResponse(own, {host, version, route, isBad, timeMs});
			exposed += isTarget && endedAt > now ? 1 : 0;
			failures += isTarget && isBad ? 1 : 0;
		}
	}

	for (let step = 0; step * stepMs < durationMs; step++) {
		const now = step * stepMs;
		runArrivals(now);
		if (step % reportEvery === 0) {
			reported = groupByHost(own);
			applied = progress.directive;
		}

		if (progress.directive.state === 'active') {
			progress = stepRollout(progress, {
				now,
				counts: reported,
				targetHosts: hosts,
				isInformed: true,
			}).progress;
			endedAt =
				progress.directive.state === 'active' ? endedAt : now + 2 * stepMs;
		}
	}

	const {state} = progress.directive;
	return {state, endedAt, exposed, total, failures};
}
