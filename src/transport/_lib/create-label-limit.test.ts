import assert from 'node:assert/strict';
import test from 'node:test';
import {createLabelLimit} from './create-label-limit.js';

// A document with many tenants could otherwise use up the memory of a node.
test('values beyond the limit share one label', () => {
	const limit = createLabelLimit(2);
	assert.deepEqual(
		['a', 'b', 'c', 'a', 'd'].map((value) => limit(value)),
		['a', 'b', 'other', 'a', 'other'],
	);
});
