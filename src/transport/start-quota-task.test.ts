import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {pickQuotaHome} from '../coordination/quotas/pick-quota-home.js';
import type {EncodedQuotaAsks} from '../protocol/quota.js';
import {startQuotaTask, type QuotaPeers} from './start-quota-task.js';

const settings = {windowMs: 5000, overRatio: 0.1, slack: 20};
const names = ['abdali-1', 'abdali-2'];
const members = names.map((name) => createSampleMember({name, address: name}));
const candidates = Array.from({length: 20}, (_, index) => `tenant-${index}`);
const [local, remote] = names.map((name) =>
	candidates.filter((tenant) => pickQuotaHome(names, tenant) === name),
);
const [tenant = '', otherTenant = ''] = remote!;

/** Starts the quotas of the first node; the second one answers as given. */
function startTask(
	t: TestContext,
	answer: (asks: EncodedQuotaAsks) => Promise<unknown>,
) {
	const peers: QuotaPeers = {getClient: () => ({quota: {mutate: answer}})};
	const logger = createSilentLogger();
	const task = startQuotaTask({name: names[0]!, settings, peers, logger});
	t.after(() => {
		task.stop();
	});
	task.updateTenants(
		candidates.map((name) => ({name, keys: [], ratePerSecond: 3, burst: 3})),
	);
	task.updateMembers({
		self: members[0]!,
		members,
		candidates: new Map(),
	});
	return task;
}

test('a tenant whose home is this node is decided without a call, within its limit', (t) => {
	const task = startTask(t, async () => {
		throw new Error('no call was expected');
	});
	let admitted = 0;
	for (let index = 0; index < 9; index++) {
		const decision = task.take(local![0]!);
		assert.ok(!(decision instanceof Promise));
		admitted += decision.kind === 'admit' ? 1 : 0;
	}

	// A tenth of the slack: what a home starts with.
	assert.equal(admitted, 2);
	assert.deepEqual(task.take('without-limit'), {kind: 'admit'});
});

test('requests that wait share one call, and a grant that cannot be read costs itself only', async (t) => {
	const calls: EncodedQuotaAsks[] = [];
	const task = startTask(t, async (asks) => {
		calls.push(asks);
		return {
			grants: [
				{tenant: otherTenant, tokens: 'many', waitMs: 0},
				{tenant, tokens: 5, waitMs: 0},
			],
		};
	});
	const decisions = await Promise.all(
		[tenant, tenant, otherTenant].map(async (name) => task.take(name)),
	);
	assert.deepEqual(
		decisions.map(({kind}) => kind),
		['admit', 'admit', 'refuse'],
	);
	assert.equal(calls.length, 1);
	// The rest of the grant serves the next requests, and so does a token that was not used.
	for (const count of [4, 1]) {
		for (let index = 1; index < count; index++) {
			assert.deepEqual(task.take(tenant), {kind: 'admit'});
		}

		task.giveBack(tenant);
	}

	assert.deepEqual(task.take(tenant), {kind: 'admit'});
});

test('a request waits 250 ms at most for a home that does not answer, and a late grant is used', async (t) => {
	let settle: ((answer: unknown) => void) | undefined;
	const task = startTask(
		t,
		async () =>
			new Promise((resolve) => {
				settle = resolve;
			}),
	);
	const startedAt = performance.now();
	const decision = await task.take(tenant);
	assert.equal(decision.kind, 'refuse');
	assert.ok(performance.now() - startedAt >= 245);
	settle?.({grants: [{tenant, tokens: 1, waitMs: 0}]});
	await waitForTurn();
	assert.deepEqual(task.take(tenant), {kind: 'admit'});
});

test('an ask that cannot be read costs itself only, and one of another home is not answered', (t) => {
	const task = startTask(t, async () => ({}));
	const {grants} = task.handleAsk({
		from: names[1]!,
		asks: [
			7,
			{tenant: local![0], want: -1},
			{tenant, want: 1},
			{tenant: local![1], want: 1},
		],
	});
	assert.deepEqual(grants, [{tenant: local![1], tokens: 1, waitMs: 0}]);
	assert.deepEqual(task.handleAsk({from: 'a', asks: {}}).grants, []);
});
