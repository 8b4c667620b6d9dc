import assert from 'node:assert/strict';
import test from 'node:test';
import * as fc from 'fast-check';
import {createQuotaFleet} from '../../../harness/create-quota-fleet.js';
import {sampleQuotaSettings} from '../../../harness/create-quota-network.js';
import {createQuotaNode} from './create-quota-node.js';

const windowMs = 5000;

/** Computes by how much the requests of a tenant in any window exceed the bound. */
function computeExcess(
	times: readonly number[],
	{rate, burst}: {readonly rate: number; readonly burst: number},
	fromMs = 0,
	untilMs = Number.POSITIVE_INFINITY,
): number {
	const bound = (rate * (windowMs / 1000) + burst) * 1.1 + 20;
	const inRange = times.filter((at) => at >= fromMs && at < untilMs);
	let first = 0;
	let worst = 0;
	for (const [index, at] of inRange.entries()) {
		while (inRange[first]! <= at - windowMs) {
			first++;
		}

		worst = Math.max(worst, index - first + 1);
	}

	return worst - bound;
}

const eventArbitrary = fc.record({
	kind: fc.constantFrom(
		'cut',
		'heal',
		'kill',
		'restart',
		'join',
		'suspend',
		'suspect',
		'loss',
		'load',
	),
	number: fc.nat(11),
	gapMs: fc.integer({min: 0, max: 5000}),
});

test('no sequence of faults lets more requests run in a window than the bound', () => {
	fc.assert(
		fc.property(
			fc.integer({min: 1, max: 1e6}),
			fc.constantFrom(3, 30, 393),
			fc.array(eventArbitrary, {maxLength: 8}),
			(seed, rate, events) => {
				const tenant = {name: 'a', keys: [], ratePerSecond: rate, burst: rate};
				const fleet = createQuotaFleet({seed, nodes: 12, tenants: [tenant]});
				fleet.offer('a', rate * 0.6);
				let at = 3000;
				for (const {kind, number, gapMs} of events) {
					fleet.runUntil(at);
					switch (kind) {
						case 'cut': {
							fleet.cut(number);
							break;
						}

						case 'heal': {
							fleet.cut(0);
							break;
						}

						case 'kill': {
							fleet.kill(number);
							break;
						}

						case 'restart': {
							fleet.restart(number);
							break;
						}

						case 'join': {
							fleet.addNode();
							break;
						}

						case 'suspend': {
							fleet.suspend(number, 2 * gapMs);
							break;
						}

						case 'suspect': {
							// A node refutes a suspicion within a second.
							fleet.suspect(number, gapMs / 5);
							break;
						}

						case 'loss': {
							fleet.setLoss(number / 20);
							break;
						}

						case 'load': {
							fleet.offer('a', rate * (number / 2 + 0.5));
							break;
						}
					}

					at += gapMs;
				}

				fleet.runUntil(at + 6000);
				const excess = computeExcess(fleet.readUsed('a'), {rate, burst: rate});
				assert.ok(excess <= 0, `${excess} requests too many`);
			},
		),
		{seed: 31, numRuns: 60},
	);
});

test('a lowered limit binds within a window', () => {
	const [before, after] = [393, 40];
	const tenant = {name: 'a', keys: [], ratePerSecond: before, burst: before};
	const fleet = createQuotaFleet({seed: 3, nodes: 20, tenants: [tenant]});
	fleet.offer('a', before * 2);
	fleet.runUntil(10_000);
	fleet.setTenants([{...tenant, ratePerSecond: after, burst: after}]);
	fleet.runUntil(30_000);
	const limit = {rate: after, burst: after};
	assert.ok(computeExcess(fleet.readUsed('a'), limit, 12_000) <= 0);
});

for (const rate of [3, 30, 393]) {
	test(`nearly nothing is refused at 62 % of a quota of ${rate} over 85 nodes`, () => {
		const tenant = {name: 'a', keys: [], ratePerSecond: rate, burst: rate};
		const fleet = createQuotaFleet({seed: 5, nodes: 85, tenants: [tenant]});
		fleet.offer('a', rate * 0.62);
		fleet.runUntil(40_000);
		const [used, refused] = [fleet.readUsed('a'), fleet.readRefused('a')];
		const share =
			refused.filter((at) => at > 3000).length / (used.length + refused.length);
		// One ask a second and node, and its answer, where a node has more than a request a second.
		assert.ok(fleet.readMessages() / 40 / 85 <= 3);
		assert.ok(share <= 0.005, `${share} of the requests were refused`);
	});

	test(`a tenant at seven times its usual rate gets its quota of ${rate} over 85 nodes`, () => {
		const tenant = {name: 'a', keys: [], ratePerSecond: rate, burst: rate};
		const fleet = createQuotaFleet({seed: 7, nodes: 85, tenants: [tenant]});
		fleet.offer('a', rate * 0.62 * 7);
		fleet.runUntil(40_000);
		const used = fleet.readUsed('a').filter((at) => at >= 10_000);
		console.log(
			rate,
			used.length / (30 * rate),
			fleet.readMessages() / 40 / 85,
		);
		assert.ok(used.length >= 0.9 * 30 * rate, `${used.length} ran`);
	});
}

test('the tenants of a quota home that has died are served again before it counts as dead', () => {
	const rate = 40;
	const tenants = Array.from({length: 24}, (_, index) => ({
		name: `tenant-${index}`,
		keys: [],
		ratePerSecond: rate,
		burst: rate,
	}));
	const fleet = createQuotaFleet({
		seed: 11,
		nodes: 24,
		tenants,
		suspicionMs: 8000,
	});
	for (const {name} of tenants) {
		fleet.offer(name, rate / 2);
	}

	fleet.runUntil(10_000);
	for (const index of [2, 7, 13]) {
		fleet.kill(index);
	}

	fleet.runUntil(18_000);
	for (const {name} of tenants) {
		const refused = fleet.readRefused(name).filter((at) => at > 15_500);
		const used = fleet.readUsed(name).filter((at) => at > 15_500);
		const share = refused.length / (used.length + refused.length);
		assert.ok(share <= 0.05, `${name}: ${share} of the requests were refused`);
	}
});

test('a node that does not know the members yet admits nothing of a tenant with a quota', () => {
	let now = 0;
	const node = createQuotaNode({
		name: 'abdali-1',
		settings: sampleQuotaSettings,
		now: () => now,
		random: () => 0.5,
		schedule: () => () => undefined,
		sendAsks() {
			assert.fail('no home is known');
		},
	});
	node.updateTenants([{name: 'a', keys: [], ratePerSecond: 400, burst: 400}]);
	for (; now < 5000; now += 50) {
		const decision = node.take('a', () => undefined);
		assert.equal(decision?.kind, 'refuse');
	}

	node.stop();
});
