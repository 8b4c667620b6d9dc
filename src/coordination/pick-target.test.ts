import assert from 'node:assert/strict';
import test from 'node:test';
import {pickTarget} from './pick-target.js';

const targets = [
	{service: 'a', weight: 90},
	{service: 'b', weight: 10},
];

for (const [start, count] of [
	[0, 30],
	[517, 30],
	[999, 300],
] as const) {
	test(`shares follow the weights from request ${start} to ${start + count}`, () => {
		const picked = Array.from({length: count}, (_, index) =>
			pickTarget(targets, start + index),
		);
		const share = picked.filter((service) => service === 'b').length / count;
		assert.ok(Math.abs(share - 0.1) <= 0.04, String(share));
	});
}

test('a target with weight 0 gets no requests', () => {
	const none = [{service: 'a', weight: 0}, ...targets.slice(1)];
	assert.equal(pickTarget(none, 0), 'b');
	assert.equal(pickTarget(none, 12), 'b');
});
