import assert from 'node:assert/strict';
import test from 'node:test';
import {
	createMembersFleet,
	fleetEpochMs,
	type FleetNode,
} from '../../../harness/create-members-fleet.js';
import {createScheduler} from '../../../harness/create-scheduler.js';
import type {Announcement} from '../../protocol/member.js';
import {computeMembersView} from '../compute-members-view.js';

const startMs = 20_000;
const id = 'u';
const bornMs = fleetEpochMs + 1000;
const announcement: Announcement = {
	team: 'kitchens',
	service: 'pricebook',
	address: '127.0.0.1:9000',
	incarnation: bornMs,
	sequence: 7,
	slots: 6,
	connections: 110,
	state: 'ready',
};

/** Starts two data centres of three nodes; the first node has an upstream. */
function startFleet(seed: number) {
	const scheduler = createScheduler(seed);
	const fleet = createMembersFleet(scheduler);
	const nodes: FleetNode[] = [];
	for (const dataCentre of ['abdali', 'marka']) {
		for (const number of [1, 2, 3]) {
			const seeds = nodes.slice(0, 1).map(({address}) => address);
			nodes.push(fleet.start(`${dataCentre}-${number}`, dataCentre, seeds));
		}
	}

	const [first, second] = nodes;
	fleet.announce(first!, id, announcement);
	scheduler.runUntil(startMs);
	return {scheduler, fleet, first: first!, second: second!};
}

type Fleet = ReturnType<typeof startFleet>;

/** Starts a new process of the first node in place of the old one. */
function restartFirst(
	{scheduler, fleet, first, second}: Fleet,
	name = first.name,
): FleetNode {
	fleet.kill(first);
	scheduler.runUntil(scheduler.now() + 500);
	const {dataCentre, address} = first;
	return fleet.start(name, dataCentre, [second.address], address);
}

/** Lists the nodes that offer the upstream to requests. */
function listOffering({fleet}: Fleet): readonly string[] {
	return fleet
		.listRunning()
		.filter((node) =>
			computeMembersView(node.state).candidates.has('kitchens/pricebook'),
		)
		.map(({name}) => name);
}

/** Lists the nodes that offer the upstream at any moment after a late announcement. */
function listOfferingAfter(
	path: Fleet,
	node: FleetNode,
	change: Partial<Announcement> = {},
): readonly string[] {
	const {scheduler, fleet} = path;
	fleet.announceLate(node, id, {...announcement, ...change});
	const names = new Set(listOffering(path));
	for (let count = 0; count < 20; count++) {
		scheduler.runUntil(scheduler.now() + 100);
		for (const name of listOffering(path)) {
			names.add(name);
		}
	}

	return [...names];
}

const seeds = Array.from({length: 20}, (_, index) => index + 1);

// Regression: after a restart of its node, a late announcement brought back an upstream that had deregistered.
test('a late announcement does not bring back an upstream that was withdrawn before its node was killed', () => {
	for (const seed of seeds) {
		const path = startFleet(seed);
		const {scheduler, fleet, first} = path;
		fleet.withdraw(first, id);
		scheduler.runUntil(startMs + 200);
		const restarted = restartFirst(path);
		scheduler.runUntil(startMs + 4500);
		assert.deepEqual(listOfferingAfter(path, restarted), [], `seed ${seed}`);
	}
});

test('a withdrawal is known after a kill at once', () => {
	for (const seed of seeds) {
		const path = startFleet(seed);
		const {scheduler, fleet, first} = path;
		fleet.withdraw(first, id);
		scheduler.runUntil(startMs + 2);
		const restarted = restartFirst(path);
		scheduler.runUntil(startMs + 4500);
		assert.deepEqual(listOfferingAfter(path, restarted), [], `seed ${seed}`);
	}
});

test('a withdrawal is known after two restarts, and after a planned one', () => {
	for (const seed of seeds) {
		const path = startFleet(seed);
		const {scheduler, fleet, first} = path;
		fleet.withdraw(first, id);
		scheduler.runUntil(startMs + 200);
		fleet.tell(first, {kind: 'leave'});
		scheduler.runUntil(startMs + 300);
		const second = restartFirst(path);
		scheduler.runUntil(startMs + 5000);
		const third = restartFirst({...path, first: second});
		scheduler.runUntil(startMs + 9000);
		assert.deepEqual(listOfferingAfter(path, third), [], `seed ${seed}`);
	}
});

test('an upstream that reported its leaving stays away after a restart of its node', () => {
	for (const seed of seeds) {
		const path = startFleet(seed);
		const {scheduler, fleet, first} = path;
		first.upstreams.clear();
		const leaving = {...announcement, state: 'leaving'} as const;
		fleet.announceLate(first, id, leaving);
		scheduler.runUntil(startMs + 200);
		const restarted = restartFirst(path);
		scheduler.runUntil(startMs + 4500);
		assert.deepEqual(listOfferingAfter(path, restarted), [], `seed ${seed}`);
	}
});

test('an upstream that another one has replaced stays away after a restart of its node', () => {
	for (const seed of seeds) {
		const path = startFleet(seed);
		const {scheduler, fleet, first} = path;
		first.upstreams.clear();
		const incarnation = bornMs + 5000;
		fleet.announceLate(first, 'next', {...announcement, incarnation});
		scheduler.runUntil(startMs + 200);
		const restarted = restartFirst(path);
		scheduler.runUntil(startMs + 4500);
		assert.deepEqual(listOfferingAfter(path, restarted), [], `seed ${seed}`);
	}
});

test('a withdrawal is known to a node that replaces another one under a new name', () => {
	for (const seed of seeds) {
		const path = startFleet(seed);
		const {scheduler, fleet, first} = path;
		fleet.withdraw(first, id);
		scheduler.runUntil(startMs + 200);
		const replaced = restartFirst(path, 'abdali-9');
		scheduler.runUntil(startMs + 4500);
		assert.deepEqual(listOfferingAfter(path, replaced), [], `seed ${seed}`);
	}
});

test('an upstream that starts again under its id is offered at once', () => {
	for (const seed of seeds) {
		const path = startFleet(seed);
		const {scheduler, fleet, first} = path;
		fleet.withdraw(first, id);
		scheduler.runUntil(startMs + 200);
		const restarted = restartFirst(path);
		scheduler.runUntil(startMs + 4500);
		const incarnation = bornMs + 20_000;
		fleet.announce(restarted, id, {...announcement, incarnation});
		assert.deepEqual(listOffering(path), ['abdali-1']);
		scheduler.runUntil(scheduler.now() + 1000);
		assert.equal(listOffering(path).length, 6, `seed ${seed}`);
	}
});

test('an upstream that was announced before its withdrawal became known is withdrawn', () => {
	const path = startFleet(1);
	const {scheduler, fleet, first} = path;
	fleet.withdraw(first, id);
	scheduler.runUntil(startMs + 200);
	const restarted = restartFirst(path);
	fleet.announceLate(restarted, id, announcement);
	assert.deepEqual(listOffering(path), ['abdali-1']);
	scheduler.runUntil(scheduler.now() + 2000);
	assert.deepEqual(listOffering(path), []);
});

test('a withdrawn upstream stays away when its node is suspended', () => {
	for (const seed of seeds) {
		const path = startFleet(seed);
		const {scheduler, fleet, first} = path;
		fleet.withdraw(first, id);
		scheduler.runUntil(startMs + 200);
		fleet.freeze(first, 4000);
		scheduler.runUntil(startMs + 6000);
		assert.deepEqual(listOfferingAfter(path, first), [], `seed ${seed}`);
	}
});

// Regression: a restarted node that read no seeds became a member without having asked anybody.
test('a withdrawal is known to a restarted node that is asked before it asks', () => {
	for (const seed of seeds) {
		const scheduler = createScheduler(seed);
		const fleet = createMembersFleet(scheduler);
		const first = fleet.start('abdali-1', 'abdali');
		const second = fleet.start('abdali-2', 'abdali', [first.address]);
		fleet.announceLate(first, id, announcement);
		scheduler.runUntil(startMs);
		fleet.withdraw(first, id);
		fleet.tell(first, {kind: 'leave'});
		scheduler.runUntil(startMs + 200);
		const path = {scheduler, fleet, first, second};
		fleet.kill(first);
		const restarted = fleet.start('abdali-1', 'abdali', [], first.address);
		fleet.announceLate(restarted, id, announcement);
		while (!restarted.state.table.has('abdali')) {
			scheduler.runUntil(scheduler.now() + 1);
		}

		assert.deepEqual(listOffering(path), [], `seed ${seed}`);
	}
});
