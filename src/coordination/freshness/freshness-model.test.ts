import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {simulateFreshness} from '../../../harness/simulate-freshness.js';

test('no node runs a configuration that is older than its proof says', () => {
	const draw = (max: number) => fc.double({min: 0, max, noNaN: true});
	const faults = fc.record({
		lost: draw(0.3),
		slow: draw(0.4),
		cut: draw(0.1),
		stop: draw(0.05),
	});
	let validRatio = 0;
	const runs = 60;
	fc.assert(
		fc.property(fc.nat(), faults, (seed, drawn) => {
			const result = simulateFreshness(seed, drawn, 30_000);
			validRatio += result.valid / result.checks / runs;
			assert.equal(result.violations, 0);
		}),
		{seed: 7, numRuns: runs},
	);
	// A node that never has a valid proof would pass as well.
	assert.ok(validRatio > 0.5, `leases were valid for ${validRatio}`);
});

test('without faults every lease holds, at a call a second for each root and change', () => {
	const none = {lost: 0, slow: 0, cut: 0, stop: 0};
	const {violations, maxAgeMs, calls} = simulateFreshness(1, none, 60_000);
	assert.equal(violations, 0);
	// Two watches, and the way from the store through two nodes.
	assert.ok(maxAgeMs < 2300, `${maxAgeMs} ms`);
	// Four roots; some 40 changes each end a watch of each root early.
	assert.ok(calls < 4 * (60 + 40) + 12, `${calls} calls`);
});

test('leases hold where the store serves one node only, root or child', () => {
	for (const served of ['a', 'b', 'c', 'd', 'e', 'f']) {
		const faults = {lost: 0, slow: 0, cut: 0, stop: 0, served};
		const {violations, maxAgeMs} = simulateFreshness(1, faults, 60_000);
		assert.equal(violations, 0);
		assert.ok(maxAgeMs < 4400, `${served}: ${maxAgeMs} ms`);
	}
});
