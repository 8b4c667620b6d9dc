import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {pollUntil} from '../../harness/poll-until.js';
import type {CrashExchange} from '../protocol/crash-record.js';
import type {Member} from '../protocol/member.js';
import {
	startQuarantineTask,
	type QuarantinePeers,
	type QuarantineTask,
} from './start-quarantine-task.js';

const dataCentres = ['abdali', 'marka', 'sweifieh'];
const nodesPerDataCentre = 20;
const timeoutMs = 5000;
const dead = {fingerprint: 'dead', service: 'registry'};

/** Starts nodes that exchange crash records in memory. */
function startFleet(t: TestContext) {
	const tasks = new Map<string, QuarantineTask>();
	const members: Member[] = [];
	const cut = new Set<string>();
	let messages = 0;
	let bytes = 0;

	function createPeers(from: string): QuarantinePeers {
		const getClient = (address: string) => ({
			crashes: {
				async mutate(exchange: CrashExchange) {
					if (cut.has(address) !== cut.has(from)) {
						throw new Error('cut off');
					}

					messages++;
					bytes += JSON.stringify(exchange).length;
					return tasks.get(address)!.handleExchange(exchange);
				},
			},
		});
		return {getClient};
	}

	function startNode(dataCentre: string, number: number): QuarantineTask {
		const name = `${dataCentre}-${number}`;
		const task = startQuarantineTask({
			name,
			dataCentre,
			peers: createPeers(name),
			logger: createSilentLogger(),
		});
		t.after(() => {
			task.stop();
		});
		tasks.set(name, task);
		members.push(createSampleMember({name, dataCentre, address: name}));
		return task;
	}

	for (const dataCentre of dataCentres) {
		for (let number = 0; number < nodesPerDataCentre; number++) {
			startNode(dataCentre, number);
		}
	}

	function updateMembers(): void {
		for (const [name, task] of tasks) {
			const self = members.find((member) => member.name === name)!;
			task.updateMembers({self, members, candidates: new Map()});
		}
	}

	updateMembers();
	return {
		tasks,
		cut,
		startNode,
		updateMembers,
		readCosts: () => ({messages, bytes}),
		countQuarantined: () =>
			[...tasks.values()].filter(
				(task) => task.readSuspicion('dead').kind === 'quarantined',
			).length,
		/** Has each node probe another one, as the members do once a second. */
		async probe() {
			const names = [...tasks.keys()];
			for (const [index, name] of names.entries()) {
				const other = names[(index + 7) % names.length]!;
				if (cut.has(name) === cut.has(other)) {
					tasks.get(name)!.compareDigest(other, tasks.get(other)!.readDigest());
				}
			}

			await sleep(1);
		},
	};
}

function crashTwice(fleet: ReturnType<typeof startFleet>): void {
	fleet.tasks.get('abdali-0')!.recordCrash('a.1', [dead]);
	fleet.tasks.get('abdali-1')!.recordCrash('b.1', [dead]);
}

async function waitForQuarantine(
	fleet: ReturnType<typeof startFleet>,
	count: number,
): Promise<void> {
	const isKnown = await pollUntil(async () => {
		await fleet.probe();
		return fleet.countQuarantined() === count;
	}, timeoutMs);
	assert.ok(isKnown, `${fleet.countQuarantined()} of ${count} nodes know`);
}

test('all nodes of all data centres learn of a crashing request, at bounded cost', async (t) => {
	const fleet = startFleet(t);
	await sleep(10);
	const before = fleet.readCosts();
	crashTwice(fleet);
	const size = dataCentres.length * nodesPerDataCentre;
	await waitForQuarantine(fleet, size);
	const {messages, bytes} = fleet.readCosts();
	// Each node passes a change on at most once, to three others; a few exchange their records after a probe.
	assert.ok(messages - before.messages <= 2 * 4 * size);
	assert.ok(bytes - before.bytes <= 2 * 4 * size * 400);
});

test('a data centre that was cut off learns of a crashing request after the cut', async (t) => {
	const fleet = startFleet(t);
	for (const name of fleet.tasks.keys()) {
		if (name.startsWith('marka')) {
			fleet.cut.add(name);
		}
	}

	crashTwice(fleet);
	await waitForQuarantine(fleet, 2 * nodesPerDataCentre);
	fleet.cut.clear();
	// An exchange of records is made once a second at most.
	await sleep(1000);
	await waitForQuarantine(fleet, 3 * nodesPerDataCentre);
});

test('a node that starts asks for the records before it is ready', async (t) => {
	const fleet = startFleet(t);
	crashTwice(fleet);
	await waitForQuarantine(fleet, 3 * nodesPerDataCentre);
	const task = fleet.startNode('abdali', nodesPerDataCentre);
	fleet.updateMembers();
	assert.equal(task.hasAsked(), false);
	const hasAsked = await pollUntil(async () => task.hasAsked(), timeoutMs);
	assert.ok(hasAsked);
	assert.equal(task.readSuspicion('dead').kind, 'quarantined');
});

test('many different crashing requests are passed on at a bounded rate', async (t) => {
	const fleet = startFleet(t);
	await sleep(10);
	const before = fleet.readCosts();
	const task = fleet.tasks.get('abdali-0')!;
	for (let number = 0; number < 2000; number++) {
		task.recordCrash(`a.${number}`, [
			{fingerprint: `attack-${number}`, service: 'registry'},
		]);
	}

	await sleep(100);
	const {bytes} = fleet.readCosts();
	const size = dataCentres.length * nodesPerDataCentre;
	// 24 records of about 110 bytes to three nodes of the own data centre and one of each other, from each node.
	assert.ok(bytes - before.bytes <= size * 5 * 24 * 150);
});

test('a record that cannot be read does not cost the others of an answer', async (t) => {
	const crashes = ['a.1', 'b.1'].map((id) => ({
		id,
		ageMs: 1,
		isCleared: false,
	}));
	const records = [
		{
			fingerprint: 'odd',
			service: 'registry',
			crashes: [{id: 'a.1', ageMs: -1}],
		},
		{...dead, crashes: [{id: 7}, ...crashes, {...crashes[0], ageMs: 1e300}]},
		{...dead, service: 7},
	];
	const task = startQuarantineTask({
		name: 'abdali-1',
		dataCentre: 'abdali',
		peers: {
			getClient: () => ({crashes: {mutate: async () => ({records})}}),
		},
		logger: createSilentLogger(),
	});
	t.after(() => {
		task.stop();
	});
	task.updateMembers({
		self: createSampleMember(),
		members: [createSampleMember({name: 'abdali-2', address: 'abdali-2'})],
		candidates: new Map(),
	});
	const isKnown = await pollUntil(
		async () => task.readSuspicion('dead').kind === 'quarantined',
		timeoutMs,
	);
	assert.ok(isKnown);
});

test('nodes that cannot read all records of each other do not exchange them each second', async (t) => {
	let at = 0;
	let messages = 0;
	const crashes = [{id: 'a.1', ageMs: 1, isCleared: false}];
	const versions = [{version: 'v1', status: 'paused'}];
	const task = startQuarantineTask({
		name: 'abdali-1',
		dataCentre: 'abdali',
		peers: {
			getClient: () => ({
				crashes: {
					async mutate() {
						messages++;
						return {records: [{...dead, crashes, versions}]};
					},
				},
			}),
		},
		logger: createSilentLogger(),
		now: () => at,
	});
	t.after(() => {
		task.stop();
	});
	for (; at < 60_000; at += 1000) {
		task.compareDigest('abdali-2', 7);
		await sleep(1);
	}

	assert.equal(task.readSuspicion('dead').kind, 'suspect');
	assert.ok(messages <= 4, `${messages} messages`);
	const before = messages;
	task.compareDigest('abdali-2', 8);
	assert.equal(messages, before + 1, 'another digest was not followed up');
});
