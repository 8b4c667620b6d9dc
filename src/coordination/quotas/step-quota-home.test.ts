import assert from 'node:assert/strict';
import test from 'node:test';
import {createQuotaHome} from './create-quota-home.js';
import {stepQuotaHome} from './step-quota-home.js';
import type {QuotaHome} from './quota-state.js';

const limit = {
	ratePerSecond: 100,
	burst: 100,
	windowMs: 5000,
	overRatio: 0.1,
	slack: 20,
};
/** The burst and a quarter of a tolerance of 80. */
const capacity = 120;

function ask(home: QuotaHome, from: string, want: number, now: number) {
	const message = {kind: 'ask', from, want, held: 0} as const;
	return stepQuotaHome(home, message, now, 0.5);
}

test('tokens at a node take up room until they expire, so that they add nothing to a later window', () => {
	const filled = createQuotaHome({limit, share: 1}, 0);
	const first = ask(filled, 'a', 1000, 10_000);
	assert.equal(first.grant.tokens, capacity);
	// A grant with a wait lives 500 ms.
	assert.equal(ask(first.home, 'b', 1000, 10_499).grant.tokens, 0);
	assert.equal(ask(first.home, 'b', 1000, 10_600).grant.tokens, 10);
	// The node that asks again has used them.
	assert.equal(ask(first.home, 'a', 1000, 10_200).grant.tokens, 0);
});

test('a new home starts nearly empty and refills once its predecessor knows of it', () => {
	const home = createQuotaHome({limit, share: 1}, 0);
	assert.equal(ask(home, 'a', 1000, 999).grant.tokens, 2);
	assert.equal(ask(home, 'a', 1000, 1100).grant.tokens, 12);
});

test('a smaller share applies at once, a larger one only when all must know of it', () => {
	const home = createQuotaHome({limit, share: 1}, 0);
	const half = stepQuotaHome(home, {kind: 'share', share: 0.5}, 10_000, 0).home;
	assert.equal(ask(half, 'a', 1000, 10_000).grant.tokens, capacity / 2);
	const whole = stepQuotaHome(half, {kind: 'share', share: 1}, 20_000, 0).home;
	assert.equal(ask(whole, 'a', 1000, 20_999).grant.tokens, capacity / 2);
	assert.equal(ask(whole, 'a', 1000, 22_000).grant.tokens, capacity);
});

test('a lower limit applies at once', () => {
	const home = createQuotaHome({limit, share: 1}, 0);
	const lower = {...limit, ratePerSecond: 10, burst: 10};
	const {home: lowered} = stepQuotaHome(
		home,
		{kind: 'limit', limit: lower},
		10_000,
		0,
	);
	assert.equal(ask(lowered, 'a', 1000, 10_000).grant.tokens, 16);
});
