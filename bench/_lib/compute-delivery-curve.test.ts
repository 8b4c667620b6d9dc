import assert from 'node:assert/strict';
import test from 'node:test';
import {computeDeliveryCurve} from './compute-delivery-curve.js';

const slopes = {
	nodesPerDataCentre: 42,
	roots: 2,
	changesPerSecond: 10,
	changeBytes: 100,
	batchBytes: 50,
	quietBytesPerSecond: 7,
	levelMs: 20,
};

test('a wider tree is faster and dearer, batching slower and cheaper', () => {
	assert.deepEqual(computeDeliveryCurve(slopes, [4, 20], [0, 500]), [
		{fanOut: 4, batchMs: 0, levels: 2, timeMs: 40, bytesPerSecond: 7507},
		{fanOut: 4, batchMs: 500, levels: 2, timeMs: 1040, bytesPerSecond: 5507},
		{fanOut: 20, batchMs: 0, levels: 1, timeMs: 20, bytesPerSecond: 31_507},
		{fanOut: 20, batchMs: 500, levels: 1, timeMs: 520, bytesPerSecond: 23_107},
	]);
});
