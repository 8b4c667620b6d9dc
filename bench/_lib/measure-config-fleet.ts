import {setTimeout as delay} from 'node:timers/promises';
import type {ConfigFleet, NodeReading} from './config-fleet.js';
import {computePercentile} from './compute-percentile.js';

/** Figures of one phase of a configuration run. */
export type ConfigPhase = {
	readonly phase: 'quiet' | 'average' | 'burst' | 'restarts';
	readonly seconds: number;
	readonly changes: number;
	/** From acceptance until each node ran the change; nodes times changes. */
	readonly convergenceMs: {
		readonly p50: number;
		readonly p99: number;
		readonly max: number;
		/** Pairs of node and change not seen by the end of the wait. */
		readonly missing: number;
	};
	/** Sent and received by a node per second, mean and greatest. */
	readonly meanNodeBytesPerSecond: number;
	readonly busiestNodeBytesPerSecond: number;
	readonly platformCallsPerSecond: number;
	/** Mean processor time of a node per second, ms. */
	readonly cpuMsPerSecond: number;
	readonly meanRssBytes: number;
};

/** What happens in a phase. */
export type PhasePlan = {
	readonly phase: ConfigPhase['phase'];
	readonly seconds: number;
	/** Changes a second. */
	readonly rate: number;
	readonly teams: number;
	/** Share of the nodes that restart while the changes go on. */
	readonly restartShare: number;
};

type Change = {readonly number: number; readonly acceptedAt: number};

const settleMs = 6000;
const msPerSecond = 1000;

async function makeChanges(
	fleet: ConfigFleet,
	plan: PhasePlan,
): Promise<Change[]> {
	const count = Math.round(plan.rate * plan.seconds);
	const startedAt = performance.now();
	const made: Array<Promise<Change>> = [];
	const lastByTeam = new Map<string, Promise<unknown>>();
	for (let index = 0; index < count; index++) {
		const dueAt = startedAt + (index * msPerSecond) / plan.rate;
		await delay(Math.max(0, dueAt - performance.now()));
		const team = `team-${index % plan.teams}`;
		const change = (async () => {
			await lastByTeam.get(team);
			return fleet.change(team);
		})();
		lastByTeam.set(team, change);
		made.push(change);
	}

	return Promise.all(made);
}

function findRun(
	runs: ReadonlyMap<number, number>,
	number: number,
): number | undefined {
	const later = [...runs]
		.filter(([version]) => version >= number)
		.map(([, at]) => at);
	return later.length > 0 ? Math.min(...later) : undefined;
}

function computeConvergence(
	fleet: ConfigFleet,
	changes: readonly Change[],
): ConfigPhase['convergenceMs'] {
	const times: number[] = [];
	let missing = 0;
	for (const runs of fleet.readRuns()) {
		for (const {number, acceptedAt} of changes) {
			const at = findRun(runs, number);
			if (at === undefined) {
				missing++;
			} else {
				times.push(Math.max(0, at - acceptedAt));
			}
		}
	}

	return {
		p50: computePercentile(times, 50),
		p99: computePercentile(times, 99),
		max: computePercentile(times, 100),
		missing,
	};
}

function computeRates(
	before: readonly NodeReading[],
	after: readonly NodeReading[],
	seconds: number,
	field: 'controlBytes' | 'cpuMs',
): number[] {
	return after.map((reading, index) => {
		const gained = reading[field] - (before[index]?.[field] ?? 0);
		return Math.max(0, gained) / seconds;
	});
}

function computeMean(values: readonly number[]): number {
	return (
		values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
	);
}

/**
 * Runs one phase on a fleet and measures it.
 *
 * Rates cover the changes and a few seconds after the last.
 *
 * @param fleet - the fleet
 * @param plan - see `PhasePlan`
 * @returns the figures
 * @throws when a change is not accepted
 * @example
 * await measureConfigPhase(fleet, {phase: 'quiet', seconds: 10, rate: 0, ...rest});
 */
export async function measureConfigPhase(
	fleet: ConfigFleet,
	plan: PhasePlan,
): Promise<ConfigPhase> {
	const before = await fleet.readNodes();
	const callsBefore = await fleet.readPlatformCalls();
	const startedAt = performance.now();
	const restarted =
		plan.restartShare > 0 ? fleet.restart(plan.restartShare) : undefined;
	const changes = await makeChanges(fleet, plan);
	await restarted;
	await delay(plan.rate > 0 ? settleMs : plan.seconds * msPerSecond);
	const seconds = (performance.now() - startedAt) / msPerSecond;
	const after = await fleet.readNodes();
	const calls = (await fleet.readPlatformCalls()) - callsBefore;
	// Replaced nodes are at the end and have no reading before.
	const kept = restarted
		? before.slice(Math.round(before.length * plan.restartShare))
		: before;
	const bytes = computeRates(kept, after, seconds, 'controlBytes');
	return {
		phase: plan.phase,
		seconds,
		changes: changes.length,
		convergenceMs: computeConvergence(fleet, changes),
		meanNodeBytesPerSecond: computeMean(bytes),
		busiestNodeBytesPerSecond: Math.max(...bytes),
		platformCallsPerSecond: calls / seconds,
		cpuMsPerSecond: computeMean(computeRates(kept, after, seconds, 'cpuMs')),
		meanRssBytes: computeMean(after.map(({rssBytes}) => rssBytes)),
	};
}
