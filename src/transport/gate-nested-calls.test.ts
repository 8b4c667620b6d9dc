/**
 * Tests of how a gate treats calls of running requests, and requests whose calls
 * are not served.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {startHeldGate} from '../../harness/start-held-gate.js';
import {
	createCallMonitor,
	type CallMonitor,
} from './_lib/create-call-monitor.js';

/** Slots of the upstream; the queue is four times as long. */
const slots = 2;

test('a nested call that arrives at a full queue evicts new work and is sent next', async (t) => {
	const host = await startHeldGate(t, {slots});
	const running = [host.run(), host.run()];
	await host.waitUntilHeld(slots);
	const queued = Array.from({length: slots * 4}, async () =>
		host.run({priority: 1}),
	);
	const call = host.run({isNested: true, priority: 3, path: '/call'});

	const evicted = await Promise.race(queued);
	assert.equal(evicted.kind === 'not-run' && evicted.reason, 'saturated');
	host.answer();
	await host.waitUntilHeld(slots);
	const [, next] = host.held;
	assert.equal(next!.req.url, '/call');
	host.answer({}, 1);
	const result = await call;
	assert.equal(result.kind, 'answered');
	await Promise.race(running);
});

test('a request whose calls cannot be served is refused with a reason of its own, and no other is evicted for it', async (t) => {
	const calls: CallMonitor = {
		...createCallMonitor(() => 0),
		decideRun: ({route}) => route !== 'lookup',
	};
	const host = await startHeldGate(t, {slots}, {calls});
	const refused = await host.run({route: 'lookup', remainingMs: 1000});
	assert.ok(refused.kind === 'not-run');
	assert.equal(refused.reason, 'calls-saturated');
	// A client that comes again within its deadline finds time left for the request.
	assert.ok(refused.retryAfterSeconds > 0.1);
	assert.ok(refused.retryAfterSeconds < 0.5);
	const other = host.run({route: 'submit'});
	await host.waitUntilHeld(1);
	host.answer();
	const answered = await other;
	assert.equal(answered.kind, 'answered');
});
