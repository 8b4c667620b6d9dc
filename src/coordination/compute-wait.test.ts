import assert from 'node:assert/strict';
import test from 'node:test';
import {computeWaitMs, type SlotWork} from './compute-wait.js';

const cases: ReadonlyArray<readonly [string, SlotWork, number]> = [
	['a free slot', {slots: 2, runningMs: [20], aheadMs: []}, 0],
	['no free slot', {slots: 2, runningMs: [20, 30], aheadMs: []}, 20],
	['one ahead', {slots: 2, runningMs: [20, 30], aheadMs: [5]}, 25],
	['two ahead', {slots: 2, runningMs: [20, 30], aheadMs: [40, 40]}, 60],
	['more running than slots', {slots: 1, runningMs: [5, 5], aheadMs: []}, 10],
];

for (const [name, work, expected] of cases) {
	test(`the wait with ${name}`, () => {
		assert.equal(computeWaitMs(work), expected);
	});
}
