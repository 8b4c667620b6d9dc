import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {
	newOrder,
	startRolloutFleet,
} from '../../harness/start-rollout-fleet.js';
import type {RolloutTask} from './rollout-task.js';

type Fleet = Awaited<ReturnType<typeof startRolloutFleet>>;

function listPicked(task: RolloutTask): readonly string[] | undefined {
	return task.pick('profiles', false)?.versions;
}

/** Starts nodes again, which get to know the members one after the other, their own host first; returns the versions picked meanwhile. */
async function restart(
	{members, start, see, joined, tasks, advance}: Fleet,
	names: readonly string[],
): Promise<ReadonlySet<string>> {
	const picked = new Set<string>();
	for (const name of names) {
		tasks.get(name)!.stop();
		start(name, 2);
	}

	for (let count = 1; count <= members.length; count++) {
		for (const name of names) {
			const own = members.find((member) => member.name === name)!;
			const others = members.filter((member) => member !== own);
			see(name, [own, ...others.toReversed().slice(0, count - 1)]);
			if (count === members.length) {
				joined.add(name);
			}
		}

		await advance(100);
		for (const name of names) {
			// Without a choice, the upstreams of every version get requests.
			for (const version of listPicked(tasks.get(name)!) ?? ['any']) {
				picked.add(version);
			}
		}
	}

	await advance(2000);
	return picked;
}

function assertPicked({tasks}: Fleet, expected: readonly string[]): void {
	for (const [name, task] of tasks) {
		assert.deepEqual(listPicked(task), expected, name);
	}
}

function assertNeverPicked(picked: ReadonlySet<string>, version: string): void {
	assert.ok(!picked.has(version) && !picked.has('any'), [...picked].join(' '));
}

function recordFailures({tasks}: Fleet): void {
	const response = {service: 'profiles', route: 'browse', durationMs: 90};
	for (const [name, task] of tasks) {
		const version = name === 'node-0' || name === 'node-1' ? 'v1' : 'v2';
		for (let count = 0; count < 6; count++) {
			const isFailed = version === 'v2' && count % 2 === 0;
			task.recordResponse({...response, version, isFailed});
		}
	}
}

test('a restarted node beside an upstream of a version without an order sends it nothing', async (t) => {
	const fleet = await startRolloutFleet(t, []);
	fleet.update(fleet.members);
	await fleet.advance(5000);
	const picked = await restart(fleet, ['node-2', 'node-3']);
	assertPicked(fleet, ['v1']);
	assertNeverPicked(picked, 'v2');
});

test('a new leader beside an upstream of the target rolls a bad version back', async (t) => {
	const fleet = await startRolloutFleet(t);
	const {tasks, see, members, advance} = fleet;
	fleet.update(members);
	await advance(5000);
	// A host of more capacity leads in place of those that have been there before.
	const newcomer = {...members[2]!, capacity: 2000};
	const known = members.with(2, newcomer);
	tasks.get('node-2')!.stop();
	fleet.start('node-2', 2);
	see('node-2', [newcomer]);
	see('node-2', [newcomer, members[3]!]);
	fleet.update(known);
	await advance(1500);
	for (let step = 0; step < 20; step++) {
		recordFailures(fleet);
		await advance(250);
	}

	assert.equal(fleet.readStatus(), 'rolled-back');
	assertPicked(fleet, ['v1']);
});

/** Starts every node again while an order has a state, and returns the versions picked meanwhile. */
async function restartAll(
	t: TestContext,
	state: 'active' | 'rolled-back' | 'completed',
): Promise<ReadonlySet<string>> {
	const status = {state, target: 'v2'};
	const fleet = await startRolloutFleet(t, [{...newOrder, status}]);
	fleet.update(fleet.members);
	await fleet.advance(3000);
	const picked = await restart(fleet, [...fleet.tasks.keys()]);
	const [first = 'any'] = listPicked(fleet.tasks.get('node-1')!) ?? [];
	assert.equal(first, state === 'completed' ? 'v2' : 'v1');
	for (const task of fleet.tasks.values()) {
		assert.equal(listPicked(task)?.[0], first);
	}

	return picked;
}

for (const state of ['rolled-back', 'active'] as const) {
	test(`a fleet that has restarted sends nothing to the target of an order that is ${state}`, async (t) => {
		const picked = await restartAll(t, state);
		assertNeverPicked(picked, 'v2');
	});
}

test('a fleet that has restarted sends everything to the target of an order that is completed', async (t) => {
	const picked = await restartAll(t, 'completed');
	assertNeverPicked(picked, 'v1');
});

test('a fleet that has restarted without an order agrees on the version whose upstreams are the oldest', async (t) => {
	const fleet = await startRolloutFleet(t, []);
	await restart(fleet, [...fleet.tasks.keys()]);
	assertPicked(fleet, ['v1']);
});

test('a fleet that has restarted ends a good order before the deadline that it had', async (t) => {
	const fleet = await startRolloutFleet(t);
	fleet.update(fleet.members);
	await fleet.advance(15_000);
	await restart(fleet, [...fleet.tasks.keys()]);
	await fleet.advance(11_500);
	assert.equal(fleet.readStatus(), 'completed');
});
