import assert from 'node:assert/strict';
import test from 'node:test';
import {createScheduler} from '../../../harness/create-scheduler.js';
import {stepCallingRoute, type CallingRoute} from './step-calling-route.js';

/** Runs of which a share is exposed to failed calls, with the share of failures in either case. */
function runAll(
	exposedShare: number,
	failed: {readonly exposed: number; readonly other: number},
	runs = 1000,
): CallingRoute {
	const {random} = createScheduler(1);
	let route: CallingRoute | undefined;
	for (let run = 0; run < runs; run++) {
		const isExposed = random() < exposedShare;
		const isFailed = random() < (isExposed ? failed.exposed : failed.other);
		route = stepCallingRoute(route, {isExposed, isFailed});
	}

	return route!;
}

test('a route whose runs fail when calls fail makes calls', () => {
	assert.equal(runAll(0.2, {exposed: 0.4, other: 0}).makesCalls, true);
	assert.equal(runAll(0.2, {exposed: 0.4, other: 0}, 200).makesCalls, true);
});

test('a route without calls is not throttled for the failed calls of others', () => {
	assert.equal(runAll(0.5, {exposed: 0, other: 0}).makesCalls, false);
});

test('a faulty upstream is not taken for failing calls', () => {
	for (const share of [0.02, 0.1, 0.3, 0.5, 0.9]) {
		const failed = {exposed: share, other: share};
		assert.equal(runAll(0.5, failed).makesCalls, false, String(share));
	}
});
