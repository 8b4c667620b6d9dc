import assert from 'node:assert/strict';
import test from 'node:test';
import type {AttemptResult} from '../../protocol/attempt.js';
import {createCallMonitor} from './create-call-monitor.js';
import type {RequestEnd} from './run-request.js';

const callRoute = {name: 'check', objectiveMs: 150};

function createResult(status: number): AttemptResult {
	return {
		kind: 'answered',
		status,
		headers: {},
		body: new Uint8Array(),
		load: undefined,
		stamp: undefined,
	};
}

const readFingerprint = (): undefined => undefined;

const refused: RequestEnd = {
	outcome: 'not-run',
	reason: 'saturated',
	retryAfterSeconds: 1,
	attempts: 1,
	readFingerprint,
};

const cancelled: RequestEnd = {...refused, reason: 'cancelled'};

const served: RequestEnd = {
	outcome: 'answered',
	answer: {status: 200, headers: {}, body: new Uint8Array()},
	attempts: 1,
	readFingerprint,
};

/** Creates a monitor at which runs of the route `lookup` make a call, and those of `submit` do not. */
function createSample() {
	let at = 0;
	const monitor = createCallMonitor(() => at);

	/** Runs a request for 20 ms, after a pause of 20 ms, with or without a call that ends as given, if it is begun. */
	function run(
		route: string,
		call?: RequestEnd,
		callMs = 10,
	): boolean | undefined {
		at += 20;
		if (!monitor.decideRun({route, priority: 1, depth: 0})) {
			return undefined;
		}

		const sentAt = at;
		monitor.recordRunStart();
		at += 5;
		const isNested = call && monitor.recordArrival('check');
		const startedAt = at;
		at += callMs;
		if (call) {
			monitor.recordCallEnd({route: callRoute, startedAt}, call);
		}

		at += 5;
		const status = call && call.outcome !== 'answered' ? 500 : 200;
		monitor.recordRunEnd({attempt: {route}, sentAt}, createResult(status));
		return isNested;
	}

	return {monitor, run};
}

function countBegun(
	{monitor}: ReturnType<typeof createSample>,
	route: string,
	priority: number,
): number {
	let begun = 0;
	for (let number = 0; number < 20; number++) {
		begun += monitor.decideRun({route, priority, depth: 0}) ? 1 : 0;
	}

	return begun;
}

test('requests that arrive only while the upstream works are found to be its calls', () => {
	const {monitor, run} = createSample();
	for (let number = 0; number < 100; number++) {
		run('lookup', served);
		run('submit');
	}

	assert.equal(run('lookup', served), true);
	assert.equal(monitor.countNestedRoutes(), 1);
});

test('requests of clients are not: some arrive while the upstream is idle', () => {
	const {monitor, run} = createSample();
	for (let number = 0; number < 100; number++) {
		run('submit');
		assert.equal(monitor.recordArrival('submit'), false);
	}
});

test('when calls fail, runs that make them are begun less often, and other runs as before', () => {
	const sample = createSample();
	for (let number = 0; number < 40; number++) {
		sample.run('lookup', number % 2 === 0 ? refused : served);
		sample.run('submit');
	}

	assert.ok(sample.monitor.readRunShare() < 0.7);
	assert.ok(countBegun(sample, 'lookup', 1) <= 10);
	assert.equal(countBegun(sample, 'submit', 1), 20);
});

test('a run that is a call itself is not held back, since that costs the run that made it', () => {
	const {monitor, run} = createSample();
	for (let number = 0; number < 40; number++) {
		run('lookup', number % 2 === 0 ? refused : served);
	}

	for (let number = 0; number < 200; number++) {
		const attempt = {route: 'lookup', priority: 0, depth: 1};
		assert.equal(monitor.decideRun(attempt), true);
	}
});

test('a call that its run no longer needs is no failure', () => {
	const {monitor, run} = createSample();
	for (let number = 0; number < 40; number++) {
		run('lookup', cancelled);
	}

	assert.equal(monitor.readRunShare(), 1);
	assert.equal(monitor.decideRun({route: 'lookup', depth: 0}), true);
});

test('a slow called service that keeps no call waiting does not hold back runs', () => {
	const {monitor, run} = createSample();
	for (let number = 0; number < 40; number++) {
		run('lookup', served, 500);
	}

	assert.equal(monitor.readRunShare(), 1);
});

test('calls that begin to wait hold back runs before calls fail', () => {
	const {monitor, run} = createSample();
	for (let number = 0; number < 40; number++) {
		run('lookup', number % 4 === 0 ? refused : served);
	}

	for (let number = 0; number < 20; number++) {
		run('lookup', served);
	}

	const share = monitor.readRunShare();
	for (let number = 0; number < 20; number++) {
		run('lookup', served, 300);
	}

	assert.ok(monitor.readRunShare() < share);
});
