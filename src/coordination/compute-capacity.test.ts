import assert from 'node:assert/strict';
import test from 'node:test';
import {computeCapacity} from './compute-capacity.js';

test('the scarcer of processor and link limits the capacity', () => {
	const cases = [
		[{}, 1000],
		[{cores: 0.54, linkMbps: 1000}, 540],
		[{cores: 1.35, linkMbps: 100}, 100],
		[{cores: 0.27, linkMbps: 5}, 5],
		[{cores: 0.27}, 270],
		[{linkMbps: 3.5}, 4],
		[{linkMbps: 0.01}, 1],
		[{cores: 1000, linkMbps: 1_000_000}, 65_535],
	] as const;
	for (const [limits, expected] of cases) {
		assert.equal(computeCapacity(limits), expected, JSON.stringify(limits));
	}
});
