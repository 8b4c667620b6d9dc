import assert from 'node:assert/strict';
import test from 'node:test';
import {stepCallBalance} from './step-call-balance.js';

test('counts fade, so that an old shortage does not hold back new runs', () => {
	let balance = stepCallBalance(
		undefined,
		{kind: 'run', priority: 1, isBegun: true},
		0,
	);
	balance = stepCallBalance(balance, {kind: 'call', isServed: false}, 0);
	balance = stepCallBalance(balance, {kind: 'call', isServed: true}, 10_000);
	assert.equal(balance.wanted.size, 0);
	assert.ok(balance.begun < 0.001);
	assert.ok(balance.served / balance.calls > 0.99);
	assert.equal(balance.strainedAt, 0);
});
