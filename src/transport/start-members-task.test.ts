import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import type {Member} from '../protocol/member.js';
import {createPeerClients} from './create-peer-client.js';
import type {PlatformClient} from './platform-client.js';
import {startMembersTask} from './start-members-task.js';

function ignoreView(): void {
	// The test only counts calls to the platform.
}

const logger = createSilentLogger();
const self: Member = {
	name: 'abdali-1',
	dataCentre: 'abdali',
	address: '127.0.0.1:1',
	incarnation: 1,
	sequence: 0,
	state: 'alive',
	upstreams: [],
};

/** Time for the first read, the write and the read after the conflict, ms; the next periodic read is later. */
const windowMs = 1300;

/** Starts a task on a platform whose lists and objects the caller gives, and runs it for a while; lists its calls. */
async function runTask(
	t: TestContext,
	answers: Partial<PlatformClient>,
	durationMs: number,
	{stepMs = 50, clockRatio = 1} = {},
): Promise<readonly string[]> {
	t.mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	const clock = {nowMs: 0};
	const calls: string[] = [];
	const platform: PlatformClient = {
		async readObject(key) {
			calls.push(`read ${key}`);
			return answers.readObject?.(key) ?? {kind: 'absent'};
		},
		async writeObject(key, value, condition) {
			calls.push(`write ${key} ${JSON.stringify(condition)}`);
			return (
				answers.writeObject?.(key, value, condition) ?? {
					kind: 'written',
					version: 1,
				}
			);
		},
		async deleteObject() {
			return {kind: 'unavailable'};
		},
		async listObjects(prefix, after) {
			calls.push(`list ${prefix} after ${after ?? ''}`);
			return answers.listObjects?.(prefix, after) ?? {kind: 'unavailable'};
		},
		async watchObjects() {
			calls.push('watch');
			return {kind: 'unavailable'};
		},
		async stop() {
			// Nothing is open.
		},
	};
	const peers = createPeerClients();
	const task = startMembersTask({
		self,
		seeds: [],
		peers,
		platform,
		logger,
		onView: ignoreView,
		now: () => clock.nowMs * clockRatio,
		random: () => 0.5,
	});
	while (clock.nowMs < durationMs) {
		clock.nowMs += stepMs;
		t.mock.timers.tick(stepMs);
		for (let turn = 0; turn < 40; turn++) {
			await Promise.resolve();
		}
	}

	task.stop();
	await peers.stop();
	return calls;
}

const seedsKey = 'members/abdali';

// Regression: an object that the list did not show was created in vain, again and again.
test('an object that an incomplete list does not show is read before it is created', async (t) => {
	const oddItem = {key: 'members/odd', version: 5, value: 1};
	for (const [hasUnreadable, more] of [
		[true, false],
		[false, true],
	] as const) {
		const calls = await runTask(
			t,
			{
				listObjects: async () => ({
					kind: 'items',
					items: [oddItem],
					revision: 9,
					more,
					hasUnreadable,
				}),
				readObject: async () => ({
					kind: 'found',
					object: {key: seedsKey, version: 7, value: 1},
				}),
			},
			700,
		);
		t.mock.timers.reset();
		assert.ok(calls.includes(`read ${seedsKey}`));
		assert.deepEqual(
			calls.filter((call) => call.startsWith('write')),
			[`write ${seedsKey} {"kind":"version","version":7}`],
		);
		assert.ok(calls.filter((call) => call.startsWith('list')).length <= 2);
	}
});

test('a list is followed page by page up to a limit', async (t) => {
	const calls = await runTask(
		t,
		{
			listObjects: async (_prefix, after = '') => ({
				kind: 'items',
				items: [{key: `${after}x`, version: 5, value: 1}],
				revision: 9,
				more: true,
			}),
		},
		300,
	);
	assert.equal(calls.filter((call) => call.startsWith('list')).length, 8);
	assert.equal(calls.filter((call) => call.startsWith('read')).length, 1);
});

test('an own object without a usable revision is replaced unconditionally, ever more rarely if that fails', async (t) => {
	const calls = await runTask(
		t,
		{
			listObjects: async () => ({
				kind: 'items',
				items: [{key: seedsKey, version: 0, value: {addresses: []}}],
				revision: 9,
				more: false,
			}),
			writeObject: async () => ({kind: 'conflict'}),
		},
		60_000,
	);
	const writes = calls.filter((call) => call.startsWith('write'));
	assert.equal(writes[0], `write ${seedsKey} {"kind":"present"}`);
	assert.ok(writes.length >= 4 && writes.length <= 7, `${writes.length}`);
	assert.ok(calls.length <= 60, `${calls.length} calls in a minute`);
});

test('reads the seeds again soon after a write conflict', async (t) => {
	t.mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	let now = 0;
	const calls: string[] = [];
	const platform: PlatformClient = {
		async readObject() {
			return {kind: 'unavailable'};
		},
		async writeObject() {
			calls.push(`write at ${now}`);
			return {kind: 'conflict'};
		},
		async deleteObject() {
			return {kind: 'unavailable'};
		},
		async listObjects() {
			calls.push(`read at ${now}`);
			return {kind: 'items', items: [], revision: 1, more: false};
		},
		async watchObjects() {
			return {kind: 'unavailable'};
		},
		async stop() {
			// Nothing is open.
		},
	};
	const peers = createPeerClients();
	const task = startMembersTask({
		self,
		seeds: [],
		peers,
		platform,
		logger,
		onView: ignoreView,
		now: () => now,
		random: () => 0.99,
	});
	for (; now < windowMs; now += 50) {
		t.mock.timers.tick(50);
		for (let turn = 0; turn < 5; turn++) {
			await Promise.resolve();
		}
	}

	task.stop();
	await peers.stop();
	const reads = calls.filter((call) => call.startsWith('read'));
	assert.ok(calls.some((call) => call.startsWith('write')));
	assert.equal(reads.length, 2, calls.join(', '));
});

test('a node reads the seeds within half a second although timers fire a little early', async (t) => {
	const calls = await runTask(t, {}, 300, {stepMs: 1, clockRatio: 0.998});
	assert.deepEqual(calls, ['list members/ after ']);
});
