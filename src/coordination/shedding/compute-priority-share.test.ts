import assert from 'node:assert/strict';
import test from 'node:test';
import {computePriorityShare} from './compute-priority-share.js';

const wanted = new Map([
	[2, 30],
	[0, 10],
	[1, 20],
]);

test('the shares of all priorities add up to the share of all', () => {
	for (const share of [0, 0.1, 0.4, 0.7, 1]) {
		let admitted = 0;
		for (const [priority, count] of wanted) {
			admitted += count * computePriorityShare(share, wanted, priority);
		}

		assert.ok(Math.abs(admitted - 60 * share) < 1e-9, `${share}: ${admitted}`);
	}
});

test('a higher priority gets at least as much, and no priority less than a quarter of all', () => {
	for (const share of [0.1, 0.4, 0.7, 1]) {
		const [high, middle, low] = [0, 1, 2].map((priority) =>
			computePriorityShare(share, wanted, priority),
		);
		assert.ok(high! >= middle! && middle! >= low!);
		assert.ok(low! >= share / 4);
	}
});

test('a priority without requests so far gets the share of all', () => {
	assert.equal(computePriorityShare(0.3, wanted, 5), 0.3);
});
