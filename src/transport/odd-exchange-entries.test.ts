import assert from 'node:assert/strict';
import {text as readText} from 'node:stream/consumers';
import test, {type TestContext} from 'node:test';
import * as z from 'zod';
import {createGateHandlers} from '../../harness/create-gate-handlers.js';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {pollUntil} from '../../harness/poll-until.js';
import {maxCallBytes} from '../protocol/constants.js';
import {startServer} from './_lib/start-server.js';
import {createPeerClients} from './create-peer-client.js';
import type {Logger} from './create-logger.js';
import type {PlatformClient} from './platform-client.js';
import {startGateTask} from './start-gate-task.js';
import {startMembersTask} from './start-members-task.js';
import {startPeerServer} from './start-peer-server.js';
import {startQuarantineTask} from './start-quarantine-task.js';

const kindSchema = z.object({kind: z.string()});
const timeoutMs = 10_000;
const statusOk = 200;
const statusBadRequest = 400;
const statusTooLarge = 413;
/** Highest counter that is a safe integer. */
const maxCounter = 9_007_199_254_740_991;
const longName = 'a'.repeat(100_000);
/** Deep enough to overflow a stack that is used per level. */
const deepArray = '['.repeat(100_000) + ']'.repeat(100_000);

const unavailable = {kind: 'unavailable'} as const;
const platform: PlatformClient = {
	readObject: async () => unavailable,
	writeObject: async () => unavailable,
	deleteObject: async () => unavailable,
	listObjects: async () => unavailable,
	watchObjects: async () => unavailable,
	async stop() {
		// Nothing is open.
	},
};

const upstream = {
	id: 'u1',
	service: 'kitchens/pricebook',
	slots: 6,
	state: 'ready',
	ageMs: 10,
};

/** A record as sent, of a host at which nobody listens. */
function createRecord(
	name: string,
	changes: Record<string, unknown> = {},
): Record<string, unknown> {
	return {
		name,
		dataCentre: 'abdali',
		address: '127.0.0.2:9',
		incarnation: 1_700_000_000_000,
		sequence: 3,
		state: 'alive',
		upstreams: [{...upstream}],
		...changes,
	};
}

const sender = {
	name: 'abdali-9',
	dataCentre: 'abdali',
	address: '127.0.0.9:9',
	incarnation: 1_700_000_000_000,
	sequence: 0,
	startedMs: 1_700_000_000_000,
};

type OddEntry = readonly [
	text: string,
	/** The odd record; a string is sent as the JSON that it contains. */
	record: unknown,
	/** Whether the rest of the record is used. */
	isUsed: boolean,
];

const oddEntries: readonly OddEntry[] = [
	['no object', 7, false],
	['null', 'null', false],
	['arrays 100,000 deep', deepArray, false],
	['no incarnation', createRecord('odd', {incarnation: undefined}), false],
	['a text for a number', createRecord('odd', {sequence: '3'}), false],
	['an unknown state', createRecord('odd', {state: 'paused'}), false],
	[
		'a number beyond the range of doubles',
		'{"name":"odd","dataCentre":"abdali","address":"127.0.0.2:9","incarnation":1e400,"sequence":3,"state":"alive","upstreams":[]}',
		false,
	],
	[
		'a number that is not exact',
		'{"name":"odd","dataCentre":"abdali","address":"127.0.0.2:9","incarnation":9007199254740993000,"sequence":3,"state":"alive","upstreams":[]}',
		false,
	],
	['a negative counter', createRecord('odd', {sequence: -1}), false],
	['a fraction', createRecord('odd', {sequence: 0.5}), false],
	['a name of 100 KB', createRecord(longName), false],
	['port 0', createRecord('odd', {address: '127.0.0.2:0'}), false],
	['port 65536', createRecord('odd', {address: '127.0.0.2:65536'}), false],
	['port 99999', createRecord('odd', {address: '127.0.0.2:99999'}), false],
	['address 999.1.1.1', createRecord('odd', {address: '999.1.1.1:80'}), false],
	['another data centre name', createRecord('odd', {dataCentre: '?'}), false],
	[
		'an incarnation far in the future',
		createRecord('odd', {incarnation: maxCounter}),
		false,
	],
	['no list of upstreams', createRecord('odd', {upstreams: {}}), true],
	[
		'an upstream without slots',
		createRecord('odd', {
			upstreams: [{...upstream, id: 'odd', slots: 0}, upstream],
		}),
		true,
	],
	[
		'an upstream with 1e9 slots',
		createRecord('odd', {
			upstreams: [{...upstream, id: 'odd', slots: 1e9}, upstream],
		}),
		true,
	],
	[
		'an upstream in an unknown state',
		createRecord('odd', {
			upstreams: [{...upstream, id: 'odd', state: 'paused'}, upstream],
		}),
		true,
	],
	[
		'more upstreams than a host may have',
		createRecord('odd', {
			upstreams: Array.from({length: 100}, (_, index) => ({
				...upstream,
				id: `u${index}`,
			})),
		}),
		true,
	],
	['a capacity out of range', createRecord('odd', {capacity: 1e9}), true],
	['a negative capacity', createRecord('odd', {capacity: -1}), true],
	['no list of unreachable', createRecord('odd', {unreachable: 'marka'}), true],
	[
		'an odd name among the unreachable',
		createRecord('odd', {unreachable: ['marka', '?']}),
		true,
	],
	['a field that is not known', createRecord('odd', {zone: {name: 'z'}}), true],
];

/** What is not unreadable: unknown fields are ignored, and the limit of incarnations depends on the time. */
const unloggedEntries: ReadonlySet<string> = new Set([
	'an incarnation far in the future',
	'a field that is not known',
]);

/** Writes a message as JSON; odd entries may be given as JSON already. */
function formatMessage(
	message: Record<string, unknown>,
	records: readonly unknown[],
): string {
	const texts = records.map((record) =>
		typeof record === 'string' ? record : JSON.stringify(record),
	);
	const text = JSON.stringify({...message, records: '#'});
	return text.replace('"#"', () => `[${texts.join(',')}]`);
}

function createRecordingLogger(lines: string[]): Logger {
	const silent = createSilentLogger();
	const logger: Logger = {
		...silent,
		warn(message, fields) {
			lines.push(`${message} ${JSON.stringify(fields)}`);
		},
		child: () => logger,
	};
	return logger;
}

/** Starts a node's members task and peer server. */
async function startNode(
	t: TestContext,
	name: string,
	seeds: readonly string[] = [],
) {
	const lines: string[] = [];
	const logger = createRecordingLogger(lines);
	const gate = startGateTask({logger});
	const peers = createPeerClients();
	const quarantine = startQuarantineTask({
		name,
		dataCentre: 'abdali',
		peers,
		logger,
	});
	const server = await startPeerServer({
		address: '127.0.0.1:0',
		gate,
		logger,
		handlers: {
			...createGateHandlers(gate),
			handleExchange: (exchange) => task.handleExchange(exchange),
			handleCrashes: quarantine.handleExchange,
		},
	});
	const task = startMembersTask({
		self: createSampleMember({
			name,
			address: server.address,
			incarnation: Date.now(),
		}),
		seeds,
		peers,
		platform,
		logger,
		onView() {
			// The view is read when it is needed.
		},
	});
	t.after(async () => {
		task.stop();
		quarantine.stop();
		await Promise.all([peers.stop(), gate.stop(), server.stop()]);
	});
	return {
		task,
		address: server.address,
		lines,
		quarantine,
		async post(body: string, procedure = 'exchange'): Promise<Response> {
			return fetch(`http://${server.address}/trpc/${procedure}`, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body,
			});
		},
		findMember: (wanted: string) =>
			task.readView().members.find((member) => member.name === wanted),
		listNames: () => task.readView().members.map((member) => member.name),
	};
}

type RunningNode = Awaited<ReturnType<typeof startNode>>;

function hasMember(node: RunningNode, name: string): boolean {
	return node.listNames().includes(name);
}

for (const [text, record, isUsed] of oddEntries) {
	test(`a request whose records contain ${text} costs at most that record`, async (t) => {
		const node = await startNode(t, 'abdali-1');
		const message = formatMessage({kind: 'ping', from: sender}, [
			createRecord('sound-1'),
			record,
			createRecord('sound-2'),
		]);
		const first = await node.post(message);
		await first.arrayBuffer();
		const second = await node.post(message);
		await second.arrayBuffer();
		assert.equal(first.status, statusOk);
		assert.ok(hasMember(node, 'sound-1') && hasMember(node, 'sound-2'));
		assert.equal(hasMember(node, 'odd'), isUsed);
		const {upstreams, capacity, unreachable} = node.findMember('odd') ?? {};
		assert.ok(!upstreams?.some(({id, slots}) => id === 'odd' || slots > 1024));
		assert.equal(capacity, undefined);
		assert.ok(!unreachable?.includes('?'));
		const logged = node.lines.filter((line) => line.includes('not readable'));
		const isLogged = !unloggedEntries.has(text);
		assert.equal(logged.length, isLogged ? 1 : 0, logged.join('\n'));
		assert.ok(logged.every((line) => line.length < 1024));
	});

	test(`an answer whose records contain ${text} costs at most that record`, async (t) => {
		const records = [createRecord('sound-1'), record, createRecord('sound-2')];
		const other = await startServer('127.0.0.1:0', (request, response) => {
			void readText(request).then((body) => {
				const {kind} = kindSchema.parse(JSON.parse(body));
				const answer =
					kind === 'digests'
						? JSON.stringify({kind, from: sender, buckets: {abdali: [1]}})
						: kind === 'bucket'
							? formatMessage({kind, from: sender, wanted: []}, records)
							: formatMessage(
									{kind: 'ack', from: sender, needsRecord: false},
									[],
								);
				response.setHeader('content-type', 'application/json');
				response.end(`{"result":{"data":${answer}}}`);
			});
		});
		t.after(async () => other.stop());
		const node = await startNode(t, 'abdali-1', [other.address]);
		assert.ok(
			await pollUntil(async () => hasMember(node, 'sound-2'), timeoutMs),
			'the records of the answer were not used',
		);
		assert.equal(hasMember(node, 'odd'), isUsed);
	});
}

const crash = {id: 'a.1', ageMs: 10, isCleared: false};
const dead = {
	fingerprint: 'dead',
	service: 'kitchens/pricebook',
	crashes: [crash, {...crash, id: 'b.1'}],
};
const oddCrashRecords: ReadonlyArray<readonly [text: string, json: string]> = [
	['null', 'null'],
	['arrays 100,000 deep', deepArray],
	['no crashes', JSON.stringify({...dead, crashes: undefined})],
	['a fingerprint of 100 KB', JSON.stringify({...dead, fingerprint: longName})],
	[
		'a negative age',
		JSON.stringify({...dead, crashes: [{...crash, ageMs: -1}]}),
	],
	[
		'an age beyond the range of doubles',
		'{"fingerprint":"odd","service":"s","crashes":[{"id":"a","ageMs":1e400,"isCleared":false}]}',
	],
	[
		'an age that is not exact',
		'{"fingerprint":"odd","service":"s","crashes":[{"id":"a","ageMs":9007199254740993000,"isCleared":false}]}',
	],
	[
		'a version with an unknown status',
		JSON.stringify({
			...dead,
			fingerprint: 'odd',
			versions: [{version: 'v', status: 'x'}],
		}),
	],
	[
		'more crashes than a record may have',
		JSON.stringify({
			...dead,
			fingerprint: 'odd',
			crashes: Array.from({length: 99}, () => crash),
		}),
	],
];

for (const [text, json] of oddCrashRecords) {
	test(`crash records that contain ${text} cost at most that record`, async (t) => {
		const node = await startNode(t, 'abdali-1');
		const records = `[${json},${JSON.stringify(dead)}]`;
		for (let message = 0; message < 2; message++) {
			const response = await node.post(
				`{"records":${records},"wantsRecords":true}`,
				'crashes',
			);
			await response.arrayBuffer();
			assert.equal(response.status, statusOk);
		}

		const {kind} = node.quarantine.readSuspicion('dead');
		assert.equal(kind, 'quarantined');
		const logged = node.lines.filter((line) => line.includes('not readable'));
		assert.equal(logged.length, 1, logged.join('\n'));
	});
}

test('a message that is longer than any sound one is refused unread', async (t) => {
	const node = await startNode(t, 'abdali-1');
	for (const procedure of ['exchange', 'crashes']) {
		const response = await node.post('['.repeat(maxCallBytes + 1), procedure);
		await response.arrayBuffer();
		assert.equal(response.status, statusTooLarge);
	}
});

test('a message that cannot be read at all is refused and logged once', async (t) => {
	const node = await startNode(t, 'abdali-1');
	const bodies = [
		'{"kind":"ping"',
		JSON.stringify({kind: 'paused', from: sender}),
		JSON.stringify({
			kind: 'ping',
			from: {...sender, name: longName},
			records: [],
		}),
	];
	for (const body of [...bodies, ...bodies, ...bodies]) {
		const response = await node.post(body);
		await response.arrayBuffer();
		assert.equal(response.status, statusBadRequest);
	}

	assert.equal(node.lines.length, bodies.length, node.lines.join('\n'));
	assert.ok(node.lines.every((line) => line.length < 1024));
});
