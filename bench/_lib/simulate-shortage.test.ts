import assert from 'node:assert/strict';
import test from 'node:test';
import {productDecisions} from './shortage/product-decisions.js';
import {computeCosts} from './shortage/compute-costs.js';
import {productCosts} from './shortage/shortage-parameters.js';
import {simulateShortage, type ShortageResult} from './simulate-shortage.js';

const seed = 1;
const seconds = 8;
/** Speed of the upstreams at which they are not short at any of these loads. */
const upstreamFactor = 2;
const overload = 2;
const loads = [0.75, 1, 1.5, overload] as const;
const results = new Map<number, ShortageResult>();

function simulateLoad(load: number): ShortageResult {
	const known =
		results.get(load) ??
		simulateShortage(
			productDecisions,
			productCosts,
			{load, seconds, upstreamFactor},
			seed,
		);
	results.set(load, known);
	return known;
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
		computeCosts(productCosts, {all: 0.02}),
		{load: overload, seconds, upstreamFactor},
		seed,
	);
	assert.ok(worth >= 0.9, `worth ${worth}`);
});

test('a fleet short of processor time keeps its goodput at twice the load', () => {
	const best = Math.max(...loads.map((load) => simulateLoad(load).goodput));
	const {goodput} = simulateLoad(overload);
	assert.ok(goodput >= 0.9 * best, `${goodput} of ${best} a second`);
});

test('a fleet short of processor time starves no class of requests', () => {
	const {worthByClass} = simulateLoad(overload);
	const shares = Object.values(worthByClass);
	assert.ok(
		Math.min(...shares) >= Math.max(...shares) / 4,
		JSON.stringify(worthByClass),
	);
});

test('a fleet short of processor time serves clients that retry as told', () => {
	for (const load of loads) {
		const {refusedAgain} = simulateLoad(load);
		assert.ok(refusedAgain <= 0.05, `load ${load}: ${refusedAgain}`);
	}
});

test('a fleet short of processor time loses no begun work to its calls', () => {
	for (const load of loads) {
		const {lostRuns} = simulateLoad(load);
		assert.ok(lostRuns <= 0.02, `load ${load}: ${lostRuns}`);
	}
});
