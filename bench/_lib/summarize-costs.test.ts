import assert from 'node:assert/strict';
import test from 'node:test';
import type {RequestCost} from './measure-request-cost.js';
import {summarizeCosts, type CostRound} from './summarize-costs.js';

function createCost(cpuMs: number): RequestCost {
	return {cpuMs, reads: 2, writes: 3, waits: 1, seconds: 0.5};
}

/** Creates a round with the costs at the caller's and the gate's process. */
function createRound(
	costs: Readonly<Record<string, readonly [number, number]>>,
): CostRound {
	return {
		idle: new Map(),
		costs: new Map(
			Object.entries(costs).map(([key, [caller, gate]]) => [
				key,
				[createCost(caller), createCost(gate)],
			]),
		),
	};
}

test('gives ratios within each round, not of medians', () => {
	const {ratios} = summarizeCosts(
		['node'],
		[
			createRound({'node served': [2, 1], 'plain served': [1, 1]}),
			createRound({'node served': [9, 2], 'plain served': [3, 1]}),
			createRound({'node served': [4, 3], 'plain served': [1, 1]}),
		],
	);
	assert.deepEqual(ratios[0]?.cpuMs, {median: 4, min: 2, max: 9});
	assert.deepEqual(ratios[0]?.toPlain, {median: 3, min: 2, max: 4});
	assert.deepEqual(ratios[1]?.toPlain, {median: 2, min: 1, max: 3});
});

test('compares a refusal with a served request', () => {
	const {ratios} = summarizeCosts(
		['node'],
		[
			createRound({
				'node served': [2, 2],
				'node caller-refused': [0.5, 0],
				'plain served': [1, 1],
			}),
		],
	);
	const refusal = ratios.find(({kind}) => kind === 'caller-refused');
	assert.equal(refusal?.toPlain.median, 0.5);
	assert.equal(refusal?.toServed?.median, 0.25);
});

test('gives what a call adds to a request, at the nodes where it begins and ends', () => {
	const {ratios} = summarizeCosts(
		['node'],
		[
			createRound({
				'node served': [2, 2],
				'node calling': [5, 6],
				'plain served': [1, 1],
				'plain calling': [2, 3],
			}),
		],
	);
	const calls = ratios.filter(
		({kind, side}) => kind === 'call' && side === 'node',
	);
	assert.deepEqual(
		calls.map(({node, cpuMs, toPlain}) => [node, cpuMs.median, toPlain.median]),
		[
			['caller', 4, 2],
			['gate', 3, 3],
		],
	);
});

test('compares the second of two builds with the first', () => {
	const {ratios} = summarizeCosts(
		['before', 'after'],
		[
			createRound({
				'before served': [2, 2],
				'after served': [1, 3],
				'plain served': [1, 1],
			}),
		],
	);
	assert.deepEqual(
		ratios.map(({side, toBefore}) => [side, toBefore?.median]),
		[
			['before', undefined],
			['before', undefined],
			['after', 0.5],
			['after', 1.5],
			['plain', undefined],
			['plain', undefined],
		],
	);
});

test('subtracts what the processes use anyway, by the median of the rounds', () => {
	const costs = {'node served': [2, 2], 'plain served': [1, 1]} as const;
	const idle = [0.2, 9, 0.4].map((cpuMs) => ({
		...createRound(costs),
		idle: new Map([['node', [createCost(cpuMs), createCost(0)]]]),
	}));
	const {ratios} = summarizeCosts(['node'], idle);
	// 2 ms less half a second of 0.4 ms a second.
	assert.equal(ratios[0]?.cpuMs.median, 1.8);
	assert.equal(ratios[1]?.cpuMs.median, 2);
});
