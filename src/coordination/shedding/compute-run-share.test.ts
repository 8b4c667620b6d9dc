import assert from 'node:assert/strict';
import test from 'node:test';
import {computeRunShare} from './compute-run-share.js';
import {stepCallBalance, type CallBalance} from './step-call-balance.js';

/** Begins the computed share of runs; each makes a call, of which the given number a second can be served. */
function runFor(
	seconds: number,
	{wanted, capacity}: {readonly wanted: number; readonly capacity: number},
	before?: {readonly balance: CallBalance; readonly at: number},
) {
	let balance = before?.balance;
	const startsAt = before?.at ?? 0;
	let credit = 0;
	let room = 1;
	let begun = 0;
	let failed = 0;
	const stepMs = 1000 / wanted;
	let at = startsAt;
	for (; at < startsAt + seconds * 1000; at += stepMs) {
		credit += computeRunShare(balance, at);
		room = Math.min(2, room + capacity / wanted);
		const isBegun = credit >= 1;
		balance = stepCallBalance(balance, {kind: 'run', priority: 0, isBegun}, at);
		if (isBegun) {
			credit--;
			begun++;
			const isServed = room >= 1;
			room -= isServed ? 1 : 0;
			failed += isServed ? 0 : 1;
			balance = stepCallBalance(balance, {kind: 'call', isServed}, at);
		}
	}

	return {balance: balance!, at, begun, failed};
}

test('without a failed call, every run is begun', () => {
	const {begun} = runFor(5, {wanted: 40, capacity: 80});
	assert.ok(begun >= 199, String(begun));
});

test('runs are begun about as often as their calls are served', () => {
	const start = runFor(5, {wanted: 40, capacity: 20});
	const {begun, failed} = runFor(20, {wanted: 40, capacity: 20}, start);
	assert.ok(begun - failed > 20 * 20 * 0.85, String(begun - failed));
	assert.ok(failed < begun * 0.2, `${failed} of ${begun}`);
});

test('a called service that has room again is noticed within a second, and used soon', () => {
	const short = runFor(10, {wanted: 40, capacity: 10});
	const first = runFor(1, {wanted: 40, capacity: 80}, short);
	assert.ok(first.begun > 10 * 1.2, String(first.begun));
	const second = runFor(2, {wanted: 40, capacity: 80}, first);
	const third = runFor(1, {wanted: 40, capacity: 80}, second);
	assert.ok(third.begun > 40 * 0.9, String(third.begun));
});

test('a called service that serves nothing is still probed', () => {
	const down = runFor(10, {wanted: 40, capacity: 0});
	const {begun} = runFor(3, {wanted: 40, capacity: 0}, down);
	assert.ok(begun >= 3 && begun <= 20, String(begun));
});
