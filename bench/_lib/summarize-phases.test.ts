import assert from 'node:assert/strict';
import test from 'node:test';
import {computePercentile} from './compute-percentile.js';
import {simulateGossip} from './simulate-gossip.js';
import {summarizePhases} from './summarize-phases.js';

const options = {nodes: 12, fanOut: 4, changeBytes: 1000, headerBytes: 500};
const still = {seconds: 4, teams: 2, restartShare: 0};

function simulate(seed: number) {
	return [
		simulateGossip({...options, seed}, {...still, phase: 'quiet', rate: 0}),
		simulateGossip({...options, seed}, {...still, phase: 'average', rate: 1}),
		simulateGossip({...options, seed}, {...still, phase: 'burst', rate: 20}),
	];
}

test('summarizes the phases of a way, the same for the same seed', () => {
	const result = {way: 'gossip', nodes: 12, reality: '', phases: simulate(3)};
	const summary = summarizePhases([result], 'gossip');
	const [way] = summary.ways.gossip!;
	assert.deepEqual(result.phases, simulate(3));
	assert.ok(way!.bytesPerNodePerChange > options.changeBytes);
	assert.equal(way!.phases.burst?.convergenceMs.missing, 0);
	assert.throws(() =>
		summarizePhases([{...result, phases: result.phases.slice(1)}], 'gossip'),
	);
});

test('computes percentiles by the nearest rank', () => {
	assert.deepEqual(
		[0, 50, 99, 100].map((rank) => computePercentile([4, 1, 3, 2], rank)),
		[1, 2, 4, 4],
	);
	assert.equal(computePercentile([], 50), 0);
});
