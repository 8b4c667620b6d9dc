import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {computeRateTokens} from './compute-rate-tokens.js';
import {computeRateLimitWait} from './compute-rate-limit-wait.js';
import type {RateLimit} from './rate-limit.js';
import {stepRateLimit} from './step-rate-limit.js';

function nameLimit(perSecond: number, now = 0): RateLimit {
	return stepRateLimit(undefined, {kind: 'named', perSecond}, now)!;
}

/** Sends whenever the limit allows it at the given times, and returns the times of the requests. */
function sendAtMost(first: RateLimit, times: readonly number[]): number[] {
	const sentAt: number[] = [];
	let limit: RateLimit | undefined = first;
	for (const now of times) {
		while (computeRateLimitWait(limit, 0, now) === 0) {
			sentAt.push(now);
			limit = stepRateLimit(limit, {kind: 'sent'}, now);
		}
	}

	return sentAt;
}

test('no window of four seconds exceeds the rate plus a burst of a quarter of a second', () => {
	fc.assert(
		fc.property(
			fc.double({min: 0.5, max: 200, noNaN: true}),
			fc.array(fc.integer({min: 1, max: 3000}), {
				minLength: 100,
				maxLength: 400,
			}),
			(perSecond, steps) => {
				let now = 0;
				const times = steps.map((step) => {
					now += step;
					return now;
				});
				const sentAt = sendAtMost(nameLimit(perSecond), times);
				for (const start of sentAt) {
					const inWindow = sentAt.filter(
						(at) => at >= start && at < start + 4000,
					);
					assert.ok(
						inWindow.length <= perSecond * 4 + Math.max(1, perSecond / 4) + 1,
					);
				}
			},
		),
		{seed: 22, numRuns: 60},
	);
});

test('the reported rate is fully used when requests are always available', () => {
	const times = Array.from({length: 1000}, (_, index) => index * 10);
	assert.equal(sendAtMost(nameLimit(12.6), times).length, 125);
});

test('a node that was suspended accumulates no tokens beyond the burst size', () => {
	const sentAt = sendAtMost(nameLimit(20), [0, 30_000]);
	assert.equal(sentAt.length, 5);
});

test('a limit applies from the answer that reports it, with no tokens from before', () => {
	assert.equal(computeRateLimitWait(nameLimit(10, 5000), 0, 5000), 100);
});

test('a limit below one request a second still admits requests at its rate', () => {
	const times = Array.from({length: 1000}, (_, index) => index * 10);
	assert.equal(sendAtMost(nameLimit(0.8), times).length, 7);
});

test('a limit of 0 admits occasional requests, whose answers may end it', () => {
	const times = Array.from({length: 1001}, (_, index) => index * 10);
	assert.equal(sendAtMost(nameLimit(0), times).length, 5);
});

test('a changed limit keeps the tokens accrued before', () => {
	const before = nameLimit(10);
	const after = stepRateLimit(before, {kind: 'named', perSecond: 1}, 50);
	assert.equal(computeRateTokens(after!, 50), 0.5);
	assert.equal(computeRateLimitWait(after, 0, 50), 500);
});

test('an answer without a limit ends the limit only when its request was sent after the last report of it', () => {
	const limit = nameLimit(10, 100);
	const before = stepRateLimit(limit, {kind: 'omitted', sentAt: 100}, 200);
	assert.equal(before, limit);
	const after = stepRateLimit(limit, {kind: 'omitted', sentAt: 101}, 200);
	assert.equal(after, undefined);
});

test('without a limit there is no wait', () => {
	assert.equal(stepRateLimit(undefined, {kind: 'sent'}, 0), undefined);
	assert.equal(computeRateLimitWait(undefined, 50, 0), 0);
});
