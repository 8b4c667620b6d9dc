import type {TestContext} from 'node:test';
import {computeCandidates} from '../src/coordination/compute-candidates.js';
import type {Member, MembersView} from '../src/protocol/member.js';
import type {StoredRollout} from '../src/protocol/rollout.js';
import type {
	RolloutStart,
	RolloutStore,
} from '../src/transport/rollout-store.js';
import type {RolloutTask} from '../src/transport/rollout-task.js';
import {startRolloutTask} from '../src/transport/start-rollout-task.js';
import {createSampleMember} from './create-sample-member.js';
import {createSilentLogger} from './create-silent-logger.js';

const durationMs = 30_000;
/** An order for the service of `startRolloutFleet`. */
export const newOrder: StoredRollout = {
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
	const starts = new Map<string, RolloutStart>();
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
		async readStart(name) {
			const start = starts.get(name);
			if (state.isDown) {
				return {kind: 'unavailable'};
			}

			return start ? {kind: 'found', start} : {kind: 'absent'};
		},
		async writeStart(name, start) {
			if (state.isDown) {
				return {kind: 'unavailable'};
			}

			starts.set(name, start);
			return {kind: 'written', version: 1};
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
					since: version === 'v1' ? 0 : 1000,
					version,
				},
			],
		}),
	);
}

function createView(members: readonly Member[], self: Member): MembersView {
	return {self, members, candidates: computeCandidates(members)};
}

/**
 * Starts the roll-out tasks of four nodes on simulated time, of which the first
 * two, with the old version, know each other; calls to nodes in `cut` fail.
 *
 * @param t - test at whose end they are stopped
 * @param initial - orders in the store
 * @returns the tasks, their store and their faults
 * @example
 * const {tasks, advance} = await startRolloutFleet(t);
 */
export async function startRolloutFleet(
	t: TestContext,
	initial: readonly StoredRollout[] = [newOrder],
) {
	t.mock.timers.reset();
	t.mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	const memory = createStore(t, initial);
	const tasks = new Map<string, RolloutTask>();
	const cut = new Set<string>();
	/** Nodes that know their data centre's members. */
	const joined = new Set<string>();
	let at = 0;
	const now = (): number => at;
	const members = createMembers(['v1', 'v1', 'v2', 'v2']);

	/** Starts the task of a node, again with a later incarnation. */
	function start(name: string, incarnation = 1): void {
		joined.delete(name);
		const task = startRolloutTask({
			name,
			incarnation,
			store: memory.store,
			logger: createSilentLogger(),
			now,
			wallNow: now,
			random: () => 0.5,
			hasJoined: () => joined.has(name),
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

	/** Lets a node that has not joined yet know only some members. */
	function see(name: string, known: readonly Member[]): void {
		const self = known.find((member) => member.name === name)!;
		tasks.get(name)!.updateMembers(createView(known, self));
	}

	function update(known: readonly Member[]): void {
		for (const {name} of known) {
			joined.add(name);
			see(name, known);
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
	return {
		...memory,
		tasks,
		start,
		cut,
		joined,
		members,
		old,
		see,
		update,
		advance,
	};
}
