import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import fc from 'fast-check';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {computeCandidates} from '../coordination/compute-candidates.js';
import type {Member, MembersView} from '../protocol/member.js';
import type {StoredRollout} from '../protocol/rollout.js';
import type {RolloutStore} from './rollout-store.js';
import {startRolloutTask, type RolloutTask} from './start-rollout-task.js';

const durationMs = 30_000;
const newOrder: StoredRollout = {
	name: 'profiles',
	revision: 1,
	service: 'profiles',
	target: 'v2',
	durationMs,
	status: undefined,
};

/** Creates a store of orders in memory, whose calls can be made to fail. */
function createStore(t: TestContext, initial: readonly StoredRollout[]) {
	const orders = new Map(initial.map((order) => [order.name, order]));
	let revision = 1;
	let onChange: Array<() => void> = [];
	const state = {isDown: false, losesAnswers: false, watches: 0, writes: 0};
	const store: RolloutStore = {
		async listRollouts() {
			const listed = {
				orders: [...orders.values()],
				removed: [],
				unreadable: [],
			};
			return state.isDown
				? {kind: 'unavailable'}
				: {kind: 'orders', ...listed, revision};
		},
		async watchRollouts() {
			state.watches++;
			await new Promise<void>((resolve) => {
				onChange.push(resolve);
			});
			return this.listRollouts();
		},
		async writeRolloutStatus({name, revision: expected, target}, written) {
			state.writes++;
			if (state.isDown) {
				return {kind: 'unavailable'};
			}

			const order = orders.get(name)!;
			if (order.revision !== expected) {
				return {kind: 'conflict'};
			}

			revision++;
			const status = {state: written, target};
			orders.set(name, {...order, revision, status});
			const waiting = onChange;
			onChange = [];
			for (const resolve of waiting) {
				resolve();
			}

			return state.losesAnswers
				? {kind: 'unknown'}
				: {kind: 'written', version: revision};
		},
		async readRollout(name) {
			return state.isDown ? undefined : orders.get(name);
		},
	};
	t.after(() => {
		for (const resolve of onChange) {
			resolve();
		}
	});
	return {
		store,
		state,
		readStatus: () => orders.get('profiles')?.status?.state,
	};
}

function createMembers(versions: readonly string[]): readonly Member[] {
	return versions.map((version, index) =>
		createSampleMember({
			name: `node-${index}`,
			address: `10.0.0.${index}:1`,
			capacity: 1000 - index,
			upstreams: [
				{
					id: `up-${index}`,
					service: 'profiles',
					slots: 4,
					state: 'ready',
					since: 0,
					version,
				},
			],
		}),
	);
}

function createView(members: readonly Member[], self: Member): MembersView {
	return {self, members, candidates: computeCandidates(members)};
}

/** Starts the tasks of a fleet on simulated time; calls to nodes in `cut` fail. */
async function startFleet(
	t: TestContext,
	initial: readonly StoredRollout[] = [newOrder],
) {
	t.mock.timers.reset();
	t.mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	const memory = createStore(t, initial);
	const tasks = new Map<string, RolloutTask>();
	const cut = new Set<string>();
	let at = 0;
	const now = (): number => at;
	const members = createMembers(['v1', 'v1', 'v2', 'v2']);

	/** Starts the task of a node, again with a later incarnation. */
	function start(name: string, incarnation = 1): void {
		const task = startRolloutTask({
			name,
			incarnation,
			store: memory.store,
			logger: createSilentLogger(),
			now,
			random: () => 0.5,
			peers: {
				getClient: (address) => ({
					rollout: {
						async mutate(report) {
							const member = members.find(
								(other) => other.address === address,
							)!;
							if (cut.has(member.name) || cut.has(name)) {
								throw new Error('cut off');
							}

							return tasks.get(member.name)!.handleReport(report);
						},
					},
				}),
			},
		});
		tasks.set(name, task);
		t.after(() => {
			task.stop();
		});
	}

	for (const {name} of members) {
		start(name);
	}

	function update(known: readonly Member[]): void {
		for (const self of known) {
			tasks.get(self.name)!.updateMembers(createView(known, self));
		}
	}

	async function advance(durationToPass: number): Promise<void> {
		for (let passed = 0; passed < durationToPass; passed += 50) {
			at += 50;
			t.mock.timers.tick(50);
			for (let turn = 0; turn < 8; turn++) {
				await Promise.resolve();
			}
		}
	}

	const old = members.slice(0, 2);
	update(old);
	// A leader listens for a second before it begins with an order.
	await advance(1050);
	return {...memory, tasks, start, cut, members, old, update, advance};
}

function readPreferred(task: RolloutTask, isRetry = false): string | undefined {
	return task.pick('profiles', isRetry)?.versions[0];
}

test('a service of one version costs nothing, and a version that appears beside it gets nothing without an order', async (t) => {
	const {tasks, update, members, advance, state} = await startFleet(t, []);
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
		await startFleet(t);
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
		await startFleet(t);
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
		await startFleet(t);
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
		await startFleet(t);
	update(members);
	await advance(12_000);
	tasks.get('node-0')!.stop();
	start('node-0', 2);
	update(members);
	await advance(15_000);
	assert.equal(readStatus(), 'completed');
});

test('a node that is cut off sends nothing to the target after 3 s, and does not repeat failures', async (t) => {
	const {tasks, update, members, advance, cut} = await startFleet(t);
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
		const {tasks, update, members, advance, readStatus} = await startFleet(t, [
			order,
		]);
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
	const {tasks, update, members, advance} = await startFleet(t, [older, newer]);
	update(members);
	await advance(1000);
	const [gauge] = tasks.get('node-1')!.listGauges();
	assert.equal(gauge?.target, 'v2');
});

/** Counts responses as gates of a version would. */
function feed(
	{tasks, members}: Awaited<ReturnType<typeof startFleet>>,
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
				const fleet = await startFleet(t);
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
