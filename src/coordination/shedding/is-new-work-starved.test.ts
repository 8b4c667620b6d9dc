import assert from 'node:assert/strict';
import test from 'node:test';
import {isNewWorkStarved} from './is-new-work-starved.js';
import {stepServedShares, type ServedShares} from './step-served-shares.js';

/** Starts every call, and every n-th of as many attempts at new work. */
function serveAll(nth: number, count: number): ServedShares {
	let shares: ServedShares | undefined;
	for (let number = 0; number < count; number++) {
		for (const isNested of [true, false]) {
			const at = number * 10;
			shares = stepServedShares(shares, {kind: 'arrived', isNested}, at);
			if (isNested || number % nth === 0) {
				shares = stepServedShares(shares, {kind: 'started', isNested}, at);
			}
		}
	}

	return shares!;
}

test('new work that gets less than a quarter of what all get is starved', () => {
	assert.equal(isNewWorkStarved(serveAll(20, 200)), true);
	assert.equal(isNewWorkStarved(serveAll(3, 200)), false);
});

test('few refusals do not take the precedence from calls', () => {
	assert.equal(isNewWorkStarved(serveAll(20, 3)), false);
	assert.equal(isNewWorkStarved(undefined), false);
});
