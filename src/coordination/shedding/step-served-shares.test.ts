import assert from 'node:assert/strict';
import test from 'node:test';
import {stepServedShares} from './step-served-shares.js';

test('old decisions fade, so that new work that was starved once does not hold back calls for long', () => {
	const before = stepServedShares(
		undefined,
		{kind: 'arrived', isNested: false},
		0,
	);
	let after = before;
	for (const kind of ['arrived', 'started'] as const) {
		after = stepServedShares(after, {kind, isNested: false}, 20_000);
	}

	assert.ok(after.newStarted / after.newArrived > 0.99);
	assert.equal(before.newStarted, 0);
});
