import assert from 'node:assert/strict';
import test from 'node:test';
import {emptyAccount} from './quota-state.js';
import {stepQuotaAccount} from './step-quota-account.js';

test('the own share starts without tokens and gives its rate, one token at most at a time', () => {
	let account = emptyAccount;
	let admitted = 0;
	for (let now = 0; now < 10_000; now += 20) {
		const taken = stepQuotaAccount(account, {kind: 'take'}, now, 1);
		const step = taken.ask
			? stepQuotaAccount(taken.account, {kind: 'unanswered'}, now, 1)
			: taken;
		account = step.account;
		admitted += step.admitted;
		assert.equal(step.admitted + step.refused, 1);
	}

	assert.ok(admitted === 9, `${admitted} requests ran`);
	const later = stepQuotaAccount(account, {kind: 'take'}, 30_000, 1);
	const {admitted: burst} = stepQuotaAccount(
		later.account,
		{kind: 'unanswered'},
		30_000,
		1,
	);
	assert.equal(burst, 0);
});

test('a tenant that its home has reported as exhausted gets no own share', () => {
	const asked = stepQuotaAccount(emptyAccount, {kind: 'take'}, 0, 1);
	const grant = {tokens: 0, waitMs: 100};
	let {account, refused} = stepQuotaAccount(
		asked.account,
		{kind: 'answered', grant},
		1,
		1,
	);
	assert.equal(refused, 1);
	for (let now = 200; now < 9000; now += 100) {
		const taken = stepQuotaAccount(account, {kind: 'take'}, now, 1);
		const step = stepQuotaAccount(taken.account, {kind: 'unanswered'}, now, 1);
		account = step.account;
		assert.equal(taken.admitted + step.admitted, 0);
	}
});

test('a request that is refused as the home does not answer may come again before most clients give up', () => {
	const asked = stepQuotaAccount(emptyAccount, {kind: 'take'}, 0, 0.01);
	const {refused, retryAfterMs} = stepQuotaAccount(
		asked.account,
		{kind: 'unanswered'},
		100,
		0.01,
	);
	assert.equal(refused, 1);
	assert.ok(retryAfterMs <= 1000, `${retryAfterMs} ms`);
});
