import assert from 'node:assert/strict';
import test from 'node:test';
import {createScheduler} from './create-scheduler.js';

function runOnce(seed: number): string {
	const scheduler = createScheduler(seed);
	const seen: string[] = [];
	for (const name of ['a', 'b', 'c', 'd']) {
		scheduler.schedule(10, () => {
			seen.push(`${name}@${scheduler.now()}`);
		});
	}

	scheduler.schedule(5, () => {
		seen.push('first');
	});
	scheduler.schedule(1, () => {
		seen.push('cancelled');
	})();
	scheduler.runUntil(20);
	return seen.join(' ');
}

test('runs actions in order of time, ties in an order that the seed fixes', () => {
	assert.match(runOnce(1), /^first (?:[a-d]@10 ?){4}$/v);
	assert.equal(runOnce(7), runOnce(7));
	assert.notEqual(
		new Set([1, 2, 3, 4, 5].map((seed) => runOnce(seed))).size,
		1,
	);
});
