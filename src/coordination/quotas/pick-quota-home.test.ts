import assert from 'node:assert/strict';
import test from 'node:test';
import {pickQuotaHome} from './pick-quota-home.js';

const nodes = Array.from({length: 85}, (_, index) => `jln-1-${index}`);
const tenants = Array.from({length: 850}, (_, index) => `tenant-${index}`);

test('homes are spread over the nodes, so that no node answers for too many tenants', () => {
	const counts = new Map<string, number>();
	for (const tenant of tenants) {
		const home = pickQuotaHome(nodes, tenant)!;
		counts.set(home, (counts.get(home) ?? 0) + 1);
	}

	assert.ok(Math.max(...counts.values()) <= 30);
	assert.ok(counts.size >= 80);
});

test('only the tenants of a node that is gone change their home, whatever the order of nodes', () => {
	const rest = nodes.slice(1).toReversed();
	for (const tenant of tenants) {
		const before = pickQuotaHome(nodes, tenant);
		const after = pickQuotaHome(rest, tenant);
		assert.ok(after === before || before === nodes[0]);
	}
});
