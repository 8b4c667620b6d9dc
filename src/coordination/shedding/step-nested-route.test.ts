import assert from 'node:assert/strict';
import test from 'node:test';
import {createScheduler} from '../../../harness/create-scheduler.js';
import {
	stepNestedRoute,
	type NestedRoute,
	type RouteArrival,
} from './step-nested-route.js';

function stepAll(
	arrivals: Iterable<RouteArrival>,
	route?: NestedRoute,
): NestedRoute {
	let after = route;
	for (const arrival of arrivals) {
		after = stepNestedRoute(after, arrival);
	}

	return after!;
}

function repeat(arrival: RouteArrival, times: number): readonly RouteArrival[] {
	return Array.from({length: times}, () => arrival);
}

/** Arrivals of clients, which meet an idle upstream as often as it is idle. */
function createClientArrivals(
	idleShare: number,
	times: number,
	seed: number,
): readonly RouteArrival[] {
	const {random} = createScheduler(seed);
	return Array.from({length: times}, () => ({
		inFlight: random() < idleShare ? 0 : 2,
		idleShare,
	}));
}

test('a route whose requests never meet an idle upstream becomes nested', () => {
	const route = stepAll(repeat({inFlight: 2, idleShare: 0.1}, 150));
	assert.equal(route.isNested, true);
});

test('few arrivals are no evidence, however idle the upstream is', () => {
	const route = stepAll(repeat({inFlight: 1, idleShare: 0.9}, 20));
	assert.equal(route.isNested, false);
});

test('a busy upstream is no evidence: clients never meet it idle either', () => {
	const route = stepAll(repeat({inFlight: 4, idleShare: 0}, 5000));
	assert.equal(route.isNested, false);
});

test('requests of clients are not taken for calls at any utilization', () => {
	for (const idleShare of [0.01, 0.05, 0.2, 0.5, 0.9]) {
		for (let seed = 1; seed <= 40; seed++) {
			const arrivals = createClientArrivals(idleShare, 2000, seed);
			let route: NestedRoute | undefined;
			for (const arrival of arrivals) {
				route = stepNestedRoute(route, arrival);
				assert.equal(route.isNested, false, `${idleShare} seed ${seed}`);
			}
		}
	}
});

test('a burst of clients after a quiet time is not taken for calls', () => {
	const quiet = repeat({inFlight: 0, idleShare: 1}, 40);
	const burst = repeat({inFlight: 4, idleShare: 0}, 1000);
	assert.equal(stepAll([...quiet, ...burst]).isNested, false);
});

test('single calls that outlive the request that made them do not matter', () => {
	const late = {inFlight: 0, idleShare: 0.1};
	const calls = repeat({inFlight: 2, idleShare: 0.1}, 300);
	assert.equal(stepAll([...calls, late, ...calls, late]).isNested, true);
});

test('contrary evidence ends the classification', () => {
	const nested = stepAll(repeat({inFlight: 2, idleShare: 0.2}, 300));
	assert.equal(nested.isNested, true);
	const route = stepAll(createClientArrivals(0.2, 500, 1), nested);
	assert.equal(route.isNested, false);
});
