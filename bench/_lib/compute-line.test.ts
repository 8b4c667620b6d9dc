import assert from 'node:assert/strict';
import test from 'node:test';
import {computeLine} from './compute-line.js';

test('fits a line by least squares and tells how well', () => {
	const exact = computeLine([0, 1, 2].map((x) => ({x, y: 3 * x - 1})));
	assert.deepEqual(exact, {slope: 3, intercept: -1, r2: 1});
	const rough = computeLine([0, 1, 2].map((x) => ({x, y: x === 1 ? 3 : 0})));
	assert.equal(rough?.slope, 0);
	assert.equal(rough.r2, 0);
	assert.equal(computeLine([{x: 1, y: 1}]), undefined);
});
