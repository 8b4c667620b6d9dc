import assert from 'node:assert/strict';
import test from 'node:test';
import {computeRetryShare} from './compute-retry-share.js';
import {stepRetryBudget, type RetryBudget} from './step-retry-budget.js';

const bounds = {ratio: 0.2, slack: 56, windowMs: 10_000};

/** Computes the largest number of retries in a window of one node whose requests all fail. */
function countRetries(nodes: number, requestsPerSecond: number): number {
	const options = computeRetryShare(bounds, nodes);
	let budget: RetryBudget | undefined;
	const made: number[] = [];
	for (let now = 0; now < 60_000; now += 1000 / requestsPerSecond) {
		// No retries in the first half; unused tokens must not accumulate.
		budget = stepRetryBudget(budget, 'request', now, options);
		if (now > 30_000 && budget.tokens >= 1) {
			budget = stepRetryBudget(budget, 'retry', now, options);
			made.push(now);
		}
	}

	return Math.max(
		0,
		...made.map(
			(from) => made.filter((at) => at >= from && at < from + 10_000).length,
		),
	);
}

for (const [nodes, rate] of [
	[10, 50],
	[10, 1],
	[83, 10],
] as const) {
	test(`${nodes} nodes with ${rate} failing requests a second each stay within the bounds`, () => {
		const all = nodes * countRetries(nodes, rate);
		assert.ok(all <= 0.2 * nodes * rate * 10 + 56, String(all));
	});
}
