import assert from 'node:assert/strict';
import test from 'node:test';
import {productDecisions} from './shortage/product-decisions.js';
import {disturbedDay} from './shortage/disturbed-day.js';
import {computeCosts} from './shortage/compute-costs.js';
import {productCosts} from './shortage/shortage-parameters.js';
import {simulateShortage, type ShortageResult} from './simulate-shortage.js';

const seed = 1;
/** Goodput near the bound varies by a tenth between seeds. */
const seeds = [1, 2, 3] as const;
const seconds = 10;
/** Speed of the upstreams at which they are not short at any of these loads. */
const upstreamFactor = 2;
/** Factor of all costs at which processors are not short. */
const nearlyFree = 0.02;
const overload = 2;
const loads = [0.75, 1, 1.5, overload] as const;
const results = new Map<number, readonly ShortageResult[]>();

function simulateLoad(load: number): readonly ShortageResult[] {
	const known =
		results.get(load) ??
		seeds.map((runSeed) =>
			simulateShortage(
				productDecisions,
				productCosts,
				{load, seconds, upstreamFactor},
				runSeed,
			),
		);
	results.set(load, known);
	return known;
}

function computeMean(
	load: number,
	read: (result: ShortageResult) => number,
): number {
	const values = simulateLoad(load).map((result) => read(result));
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

test('a fleet short of processor time: the same seed gives the same figures', () => {
	const scenario = {load: 1, seconds: 1};
	const simulate = (runSeed: number): ShortageResult =>
		simulateShortage(productDecisions, productCosts, scenario, runSeed);
	assert.deepEqual(simulate(5), simulate(5));
	assert.notDeepEqual(simulate(5), simulate(6));
});

test('a fleet whose steps cost next to nothing serves twice the load', () => {
	const {worth} = simulateShortage(
		productDecisions,
		computeCosts(productCosts, {all: nearlyFree}),
		{load: overload, seconds, upstreamFactor},
		seed,
	);
	assert.ok(worth >= 0.9, `worth ${worth}`);
});

test('a fleet short of processor time keeps its goodput at twice the load', () => {
	const goodputs = loads.map((load) =>
		computeMean(load, ({goodput}) => goodput),
	);
	const best = Math.max(...goodputs);
	const goodput = goodputs.at(-1)!;
	assert.ok(goodput >= 0.9 * best, `${goodput} of ${best} a second`);
});

test('a fleet short of processor time starves no class of requests', () => {
	for (const {worthByClass} of simulateLoad(overload)) {
		const shares = Object.values(worthByClass);
		assert.ok(
			Math.min(...shares) >= Math.max(...shares) / 4,
			JSON.stringify(worthByClass),
		);
	}
});

test('a fleet short of processor time serves clients that retry as told', () => {
	for (const load of loads) {
		const refusedAgain = computeMean(load, (result) => result.refusedAgain);
		assert.ok(refusedAgain <= 0.05, `load ${load}: ${refusedAgain}`);
	}
});

test('a fleet short of processor time loses no begun work to its calls', () => {
	for (const load of loads) {
		const lostRuns = computeMean(load, (result) => result.lostRuns);
		assert.ok(lostRuns <= 0.02, `load ${load}: ${lostRuns}`);
	}
});

test('a fleet short of processor time earns on a disturbed day what free processors would', () => {
	const scenario = {...disturbedDay, upstreamFactor: 1};
	const simulate = (cost: number): number =>
		simulateShortage(
			productDecisions,
			computeCosts(productCosts, {all: cost}),
			scenario,
			seed,
		).worth;
	const worth = simulate(1);
	const freeWorth = simulate(nearlyFree);
	assert.ok(worth >= 0.8 * freeWorth, `${worth} of ${freeWorth}`);
});
