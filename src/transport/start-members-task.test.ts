import assert from 'node:assert/strict';
import test from 'node:test';
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
