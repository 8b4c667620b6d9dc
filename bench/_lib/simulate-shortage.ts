import {createScheduler} from '../../harness/create-scheduler.js';
import {computeCarriedRate} from './shortage/compute-carried-rate.js';
import {createShortageClients} from './shortage/create-shortage-clients.js';
import {createShortageFleet} from './shortage/create-shortage-fleet.js';
import {planArrivals, type ArrivalOptions} from './shortage/plan-arrivals.js';
import type {ClassCounts, ShortageCounts} from './shortage/shortage-counts.js';
import type {ShortageDecisions} from './shortage/shortage-decisions.js';
import {
	defaultClasses,
	defaultHosts,
	productCosts,
	type StepCosts,
} from './shortage/shortage-parameters.js';

/** Load and disturbances of a run. */
export type ShortageScenario = {
	/** Offered load as a share of what the processors carry at the product's costs. */
	readonly load: number;
	readonly seconds: number;
	/** Share of a core of each node. */
	readonly share?: number;
	/** Factor of the speed of all upstreams. */
	readonly upstreamFactor?: number;
	readonly burst?: ArrivalOptions['burst'];
	readonly impatientShare?: number;
	readonly clump?: number;
	/** Restarts of nodes in turn. */
	readonly restarts?: {
		readonly at: number;
		readonly count: number;
		readonly gapSeconds: number;
	};
	/** A loss of power of all nodes. */
	readonly powerCut?: {readonly at: number; readonly seconds: number};
};

/** What a set of decisions came to in a run. */
export type ShortageResult = {
	/** Requests offered per second. */
	readonly offered: number;
	/** Worth earned per second. */
	readonly goodput: number;
	/** Worth earned as a share of the worth offered. */
	readonly worth: number;
	/** The same by class. */
	readonly worthByClass: Readonly<Record<string, number>>;
	/** Share of the requests that were refused to the end. */
	readonly refused: number;
	/** Share of the requests that ended otherwise without an answer. */
	readonly failed: number;
	/** Share of the tries that were refused. */
	readonly refusedTries: number;
	/** The same by reason. */
	readonly refusedByReason: Readonly<Record<string, number>>;
	/** Share of the tries, made when the client was told to, that were refused again. */
	readonly refusedAgain: number;
	/** Share of the runs that make calls and ended since one failed. */
	readonly lostRuns: number;
	/** Share of the requests that ran with over half of the objective gone. */
	readonly lateStarts: number;
	/** Tries for each request. */
	readonly tries: number;
	/** Mean and highest cores used by a node. */
	readonly meanCores: number;
	readonly maxCores: number;
};

const defaultShare = 0.54;
const msPerSecond = 1000;
/** Time after the last arrival until which requests may end, s. */
const afterSeconds = 3;

function createCounts(): ShortageCounts {
	const byClass = new Map(
		defaultClasses.map(({name}): [string, ClassCounts] => [
			name,
			{
				requests: 0,
				served: 0,
				late: 0,
				refused: 0,
				failed: 0,
				runs: 0,
				lostRuns: 0,
			},
		]),
	);
	return {
		byClass,
		tries: 0,
		refusedTries: 0,
		refusedByReason: new Map(),
		toldTries: 0,
		toldRefused: 0,
		unread: 0,
		run: 0,
		runLate: 0,
	};
}

function divide(part: number, whole: number): number {
	return whole === 0 ? 0 : part / whole;
}

function summarizeCounts(
	counts: ShortageCounts,
	seconds: number,
	cores: readonly number[],
): ShortageResult {
	const classes = defaultClasses.filter(({share}) => share > 0);
	const rows = classes.map((requestClass) => {
		const count = counts.byClass.get(requestClass.name)!;
		const {worth, lateWorth} = requestClass;
		return {
			...count,
			name: requestClass.name,
			offered: count.requests * worth,
			earned: count.served * worth + count.late * lateWorth,
		};
	});
	const calling = defaultClasses
		.filter(({calls}) => calls)
		.map(({name}) => counts.byClass.get(name)!);
	const sum = (values: readonly number[]): number =>
		values.reduce((total, value) => total + value, 0);
	const requests = sum(rows.map((row) => row.requests));
	const earned = sum(rows.map((row) => row.earned));
	return {
		offered: requests / seconds,
		goodput: earned / seconds,
		worth: divide(earned, sum(rows.map((row) => row.offered))),
		worthByClass: Object.fromEntries(
			rows.map((row) => [row.name, divide(row.earned, row.offered)]),
		),
		refused: divide(sum(rows.map((row) => row.refused)), requests),
		failed: divide(sum(rows.map((row) => row.failed)), requests),
		refusedTries: divide(counts.refusedTries, counts.tries),
		refusedByReason: Object.fromEntries(
			[...counts.refusedByReason].map(([reason, count]) => [
				reason,
				divide(count, counts.tries),
			]),
		),
		refusedAgain: divide(counts.toldRefused, counts.toldTries),
		lostRuns: divide(
			sum(calling.map(({lostRuns}) => lostRuns)),
			sum(calling.map(({runs}) => runs)),
		),
		lateStarts: divide(counts.runLate, counts.run),
		tries: divide(counts.tries, requests),
		meanCores: sum(cores) / cores.length,
		maxCores: Math.max(...cores),
	};
}

/**
 * Simulates a fleet whose nodes' processor time is a resource, in virtual time:
 * the decisions of the product or others, round nodes, upstreams and clients of
 * its own.
 *
 * @param decisions - the decisions of all nodes
 * @param costs - processor time of each step
 * @param scenario - load and disturbances
 * @param seed - seed of arrivals, service times and choices
 * @returns the figures of the run
 * @example
 * simulateShortage(productDecisions, productCosts, {load: 1, seconds: 20}, 1).worth;
 */
export function simulateShortage(
	decisions: ShortageDecisions,
	costs: StepCosts,
	scenario: ShortageScenario,
	seed: number,
): ShortageResult {
	const {seconds, load, share = defaultShare, restarts, powerCut} = scenario;
	const {upstreamFactor = 1, impatientShare = 0.1, clump = 1} = scenario;
	const scheduler = createScheduler(seed);
	const arrivalScheduler = createScheduler(seed + 1);
	const counts = createCounts();
	const fleet = createShortageFleet({
		scheduler,
		hosts: defaultHosts,
		classes: new Map(
			defaultClasses.map((requestClass) => [requestClass.name, requestClass]),
		),
		decisions,
		costs,
		share,
		upstreamFactor,
		onRunEnd({name}, status) {
			const count = counts.byClass.get(name)!;
			count.runs++;
			count.lostRuns += status === 'calls-failed' ? 1 : 0;
		},
	});
	const clients = createShortageClients({scheduler, fleet, counts});
	const carried = computeCarriedRate(
		defaultClasses,
		productCosts,
		defaultHosts.length * defaultShare,
	);
	const arrivals = planArrivals({
		classes: defaultClasses,
		dataCentres: ['a', 'b', 'c'],
		perSecond: carried * load,
		seconds,
		impatientShare,
		clump,
		random: arrivalScheduler.random,
		...(scenario.burst && {burst: scenario.burst}),
	});
	for (const {at, requestClass, dataCentre, isImpatient} of arrivals) {
		scheduler.schedule(at, () => {
			clients.request(requestClass, dataCentre, isImpatient);
		});
	}

	for (let index = 0; index < (restarts?.count ?? 0); index++) {
		const {at, gapSeconds} = restarts!;
		scheduler.schedule((at + index * gapSeconds) * msPerSecond, () => {
			fleet.restart((index * 3) % defaultHosts.length);
		});
	}

	if (powerCut) {
		scheduler.schedule(powerCut.at * msPerSecond, () => {
			fleet.cutPower(powerCut.seconds * msPerSecond);
		});
	}

	scheduler.runUntil(seconds * msPerSecond);
	const cores = fleet
		.listUsedMs()
		.map((usedMs) => usedMs / msPerSecond / seconds);
	scheduler.runUntil((seconds + afterSeconds) * msPerSecond);
	return summarizeCounts(counts, seconds, cores);
}
