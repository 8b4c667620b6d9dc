import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	newOrder,
	startRolloutFleet,
} from '../../harness/start-rollout-fleet.js';
import type {RolloutTask} from './rollout-task.js';

function readPreferred(task: RolloutTask, isRetry = false): string | undefined {
	return task.pick('profiles', isRetry)?.versions[0];
}

test('a service of one version costs nothing, and a version that appears beside it gets nothing without an order', async (t) => {
	const {tasks, update, members, advance, state} = await startRolloutFleet(
		t,
		[],
	);
	assert.equal(tasks.get('node-1')!.pick('profiles', false), undefined);
	update(members);
	await advance(5000);
	for (const task of tasks.values()) {
		assert.deepEqual(task.pick('profiles', false)?.versions, ['v1']);
	}

	assert.deepEqual(state, {...state, watches: 1, writes: 0});
});

test('a good version is completed before the deadline, after all traffic went to it', async (t) => {
	const {tasks, update, members, advance, readStatus, state} =
		await startRolloutFleet(t);
	update(members);
	await advance(2000);
	assert.equal(readStatus(), 'active');
	assert.equal(readPreferred(tasks.get('node-1')!), 'v1');
	await advance(23_900);
	assert.equal(readPreferred(tasks.get('node-1')!), 'v2');
	await advance(1100);
	assert.equal(readStatus(), 'completed');
	assert.deepEqual(tasks.get('node-3')!.pick('profiles', true)?.versions, [
		'v2',
	]);
	assert.equal(state.writes, 2);
});

test('a version that fails is rolled back and gets nothing any more, though the response to each write is lost', async (t) => {
	const {tasks, update, members, advance, readStatus, state} =
		await startRolloutFleet(t);
	state.losesAnswers = true;
	update(members);
	await advance(2000);
	const response = {service: 'profiles', route: 'browse', durationMs: 90};
	for (let count = 0; count < 60; count++) {
		const isFailed = count % 2 === 0;
		for (const name of ['node-2', 'node-3']) {
			const task = tasks.get(name)!;
			task.recordResponse({...response, version: 'v2', isFailed});
		}

		const task = tasks.get('node-1')!;
		task.recordResponse({...response, version: 'v1', isFailed: false});
	}

	await advance(1500);
	assert.equal(readStatus(), 'rolled-back');
	for (const task of tasks.values()) {
		assert.deepEqual(task.pick('profiles', false)?.versions, ['v1']);
	}
});

test('the next root takes over an order with its deadline, and writes the status once the store is back', async (t) => {
	const {tasks, update, members, advance, readStatus, state, cut} =
		await startRolloutFleet(t);
	update(members);
	await advance(10_000);
	cut.add('node-0');
	tasks.get('node-0')!.stop();
	const [, ...others] = members;
	update(others);
	await advance(5000);
	state.isDown = true;
	await advance(11_500);
	assert.equal(readStatus(), 'active');
	state.isDown = false;
	await advance(1500);
	assert.equal(readStatus(), 'completed');
});

test('a leader that starts again continues an order with its deadline', async (t) => {
	const {tasks, start, update, members, advance, readStatus} =
		await startRolloutFleet(t);
	update(members);
	await advance(12_000);
	tasks.get('node-0')!.stop();
	start('node-0', 2);
	update(members);
	await advance(15_000);
	assert.equal(readStatus(), 'completed');
});

test('a node that is cut off sends nothing to the target after 3 s, and does not repeat failures', async (t) => {
	const {tasks, update, members, advance, cut} = await startRolloutFleet(t);
	update(members);
	await advance(25_900);
	const task = tasks.get('node-1')!;
	assert.equal(readPreferred(task), 'v2');
	for (let count = 0; count < 12; count++) {
		task.recordAttempt('profiles', 'v2', true);
	}

	assert.equal(readPreferred(task), 'v1');
	const cutOff = tasks.get('node-3')!;
	cut.add('node-3');
	assert.equal(readPreferred(cutOff), 'v2');
	await advance(3600);
	assert.deepEqual(cutOff.pick('profiles', false)?.versions, ['v1']);
});

for (const [name, order] of Object.entries({
	'an unknown service': {...newOrder, service: 'bookings'},
	'a negative duration': {...newOrder, durationMs: -1},
	'no duration': {...newOrder, durationMs: undefined},
	'the running version': {...newOrder, target: 'v1'},
})) {
	test(`an order with ${name} has no effect and leaves the other orders alone`, async (t) => {
		const {tasks, update, members, advance, readStatus} =
			await startRolloutFleet(t, [order]);
		update(members);
		await advance(29_500);
		assert.equal(readStatus(), undefined);
		assert.deepEqual(tasks.get('node-1')!.pick('profiles', false)?.versions, [
			'v1',
		]);
	});
}

test('of two orders for a service the newer one counts', async (t) => {
	const newer = {...newOrder, name: 'again', revision: 2, target: 'v2'};
	const older = {...newOrder, target: 'v3'};
	const {tasks, update, members, advance} = await startRolloutFleet(t, [
		older,
		newer,
	]);
	update(members);
	await advance(1000);
	const [gauge] = tasks.get('node-1')!.listGauges();
	assert.equal(gauge?.target, 'v2');
});

/** Counts responses as gates of a version would. */
function feed(
	{tasks, members}: Awaited<ReturnType<typeof startRolloutFleet>>,
	isBad: boolean,
): void {
	for (const {name, upstreams} of members) {
		const {version = ''} = upstreams[0]!;
		for (let count = 0; count < 6; count++) {
			tasks.get(name)!.recordResponse({
				service: 'profiles',
				route: 'browse',
				version,
				durationMs: 90,
				isFailed: isBad && version === 'v2' && count % 2 === 0,
			});
		}
	}
}

test('whatever fails for a while, an order ends rightly and once', async (t) => {
	const fault = fc.record({
		at: fc.integer({min: 2, max: 34}),
		kind: fc.constantFrom('leader', 'follower', 'store', 'answers'),
		steps: fc.integer({min: 1, max: 8}),
	});
	await fc.assert(
		fc.asyncProperty(
			fc.boolean(),
			fc.array(fault, {maxLength: 4}),
			async (isBad, faults) => {
				const fleet = await startRolloutFleet(t);
				const {members, update, cut, state, tasks} = fleet;
				const [first, ...others] = members;
				const seen = new Set<string | undefined>();
				update(members);
				for (let step = 0; step < 58; step++) {
					const active = faults.filter(
						({at, steps}) => step >= at && step < at + steps,
					);
					const has = (kind: string): boolean =>
						active.some((other) => other.kind === kind);
					state.isDown = has('store');
					state.losesAnswers = has('answers');
					cut.clear();
					if (has('follower')) {
						cut.add('node-2');
					}

					if (has('leader')) {
						cut.add(first!.name);
						update(others);
					} else {
						update(members);
					}

					feed(fleet, isBad);
					await fleet.advance(500);
					seen.add(fleet.readStatus());
				}

				const expected = isBad ? 'rolled-back' : 'completed';
				assert.equal(fleet.readStatus(), expected);
				assert.ok(!seen.has(isBad ? 'completed' : 'rolled-back'));
				for (const task of tasks.values()) {
					const versions = task.pick('profiles', false)?.versions;
					assert.deepEqual(versions, [isBad ? 'v1' : 'v2']);
					task.stop();
				}
			},
		),
		{seed: 4, numRuns: 40},
	);
});
