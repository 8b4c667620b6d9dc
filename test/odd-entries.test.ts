/**
 * Tests of odd entries that another writer leaves among those of the nodes, on
 * real nodes: each costs itself, the others hold.
 */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import test, {type TestContext} from 'node:test';
import {platformDocument} from '../fakes/platform-document.js';
import {startPlatform, type Platform} from '../fakes/platform-stand-in.js';
import {createSilentLogger} from '../harness/create-silent-logger.js';
import {
	deepText,
	listOddObjects,
	unnamedEntries,
	type OddEntry,
} from '../harness/_lib/odd-entries.js';
import {
	announceUpstream,
	listen,
	readMetrics,
	readyTimeoutMs,
	sendRequest,
	startPlatformNode,
	waitUntilServed,
} from '../harness/_lib/platform-node.js';
import {pollUntil} from '../harness/poll-until.js';
import {createStoreClient} from '../platform/create-store-client.js';
import {
	joinTimeoutMs,
	membersPeriodMs,
	seedsRetryMs,
} from '../src/protocol/constants.js';
import type {MeshSettings} from '../src/protocol/mesh-settings.js';
import type {PlatformObject} from '../src/protocol/platform.js';

/** Longest time until a node that has started knows the others, ms: its join times out once, and it reads the seeds once more. */
const findMs = joinTimeoutMs + seedsRetryMs + 2 * membersPeriodMs;

/** Longest time until a change is in force on a node while the store answers, ms. */
const changeMs = 6000;

/** Higher than that of the document at the start. */
const firstVersion = 256;

const localKey = 'members/abdali';

async function readGauge(
	settings: MeshSettings,
	name: string,
): Promise<number> {
	const text = await readMetrics(settings);
	return Number(new RegExp(`^boragehitch_${name} (.*)$`, 'mv').exec(text)?.[1]);
}

async function waitForGauge(
	settings: MeshSettings,
	[name, value]: readonly [string, number],
	timeoutMs: number,
): Promise<void> {
	const isReached = await pollUntil(
		async () => (await readGauge(settings, name)) === value,
		timeoutMs,
	);
	assert.ok(
		isReached,
		`${name} of ${settings.name} is ${await readGauge(settings, name)}`,
	);
}

/** Starts a store with a configuration and two nodes that know each other. */
async function start(t: TestContext) {
	const platform = await startPlatform();
	const address = new URL(platform.url).host;
	const client = createStoreClient(address, {logger: createSilentLogger()});
	t.after(async () => {
		await client.stop();
		await platform.stop();
	});
	await client.writeObject('config/main', platformDocument, {kind: 'absent'});
	const nodes = await Promise.all(
		['abdali-1', 'abdali-2'].map(async (name) =>
			startPlatformNode(t, name, address),
		),
	);
	for (const {settings} of nodes) {
		await waitForGauge(settings, ['members', 2], readyTimeoutMs);
	}

	const hasSeeds = await pollUntil(async () => {
		const {kind} = await client.readObject(localKey);
		return kind === 'found';
	}, readyTimeoutMs);
	assert.ok(hasSeeds, 'the nodes have written no addresses');
	return {
		platform,
		address,
		client,
		settings: nodes.map((node) => node.settings),
	};
}

/** Seeds as a node writes them, with some parts replaced by text. */
function formatSeeds(
	changes: Readonly<Record<string, string>>,
): OddEntry['format'] {
	const parts = {
		addresses: '["10.0.0.1:0"]',
		memberCount: '2',
		writtenMs: '0',
		...changes,
	};
	const texts = Object.entries(parts).map(
		([name, text]) => `"${name}":${text}`,
	);
	return (revision) =>
		`{"metadata":{"name":"abdali","revision":${revision}},"spec":{${texts.join(',')}}}`;
}

/** Reads the addresses of an object; none if it is odd. */
function readAddresses({version, value}: PlatformObject): readonly unknown[] {
	const isSeeds =
		typeof value === 'object' && value !== null && 'addresses' in value;
	return version > 0 && isSeeds && Array.isArray(value.addresses)
		? value.addresses
		: [];
}

function putEntries(
	platform: Platform,
	kind: string,
	entries: readonly OddEntry[],
): void {
	for (const [index, {format}] of entries.entries()) {
		platform.putText(`${kind}/entry-${index}`, format);
	}
}

const otherSeeds = JSON.stringify({
	addresses: [
		'127.0.0.1:0',
		'127.0.0.1:65536',
		'127.0.0.1:99999',
		'999.1.1.1:80',
		7,
		null,
	],
	memberCount: 9e15,
	writtenMs: 1e300,
});

// Regression: one odd entry made the whole list invalid, so that a starting node found nobody.
test('a node finds the others beside odd entries of other data centres', async (t) => {
	const {platform, address} = await start(t);
	putEntries(platform, 'members', [
		...listOddObjects('marka', otherSeeds),
		...unnamedEntries,
	]);
	const {settings} = await startPlatformNode(t, 'abdali-3', address);
	await waitForGauge(settings, ['members', 3], findMs);
});

test('a node finds the others when the objects of other writers fill more than a page', async (t) => {
	const {platform, address} = await start(t);
	for (let index = 0; index < 600; index++) {
		const name = `a-${index}`;
		platform.putText(
			`members/${name}`,
			(revision) =>
				`{"metadata":{"name":"${name}","revision":${revision}},"spec":{}}`,
		);
	}

	const {settings} = await startPlatformNode(t, 'abdali-3', address);
	await waitForGauge(settings, ['members', 3], findMs);
});

const replacements: readonly OddEntry[] = [
	{
		about: 'one odd address, written in the far future',
		format: formatSeeds({memberCount: '9e15', writtenMs: '1e300'}),
	},
	{
		about: 'deeply nested addresses',
		format: formatSeeds({addresses: deepText}),
	},
	{
		about: 'addresses that lead nowhere',
		format: formatSeeds({addresses: '["127.0.0.1:1","127.0.0.1:2"]'}),
	},
	...listOddObjects('abdali', otherSeeds),
];
for (const {about, format} of replacements) {
	test(`a node finds the others when their own object has ${about}`, async (t) => {
		const {platform, address, client, settings: nodes} = await start(t);
		platform.putText(localKey, format);
		const {settings} = await startPlatformNode(t, 'abdali-3', address);
		await waitForGauge(settings, ['members', 3], findMs);
		const isWritten = await pollUntil(async () => {
			const read = await client.readObject(localKey);
			const addresses = read.kind === 'found' ? readAddresses(read.object) : [];
			const {peers} = settings;
			const known = new Set([...nodes.map((node) => node.peers), peers]);
			return (
				addresses.length > 0 &&
				addresses.every((address) => known.has(String(address)))
			);
		}, readyTimeoutMs);
		assert.ok(isWritten, 'the object was not written again');
	});
}

// Regression: a change of the configuration was not in force beside an odd object.
test('a change is in force beside odd objects of the same kind', async (t) => {
	const {platform, client, settings} = await start(t);
	putEntries(platform, 'config', [
		...listOddObjects('other', '{}'),
		...unnamedEntries,
	]);
	for (const version of [2, 3]) {
		const read = await client.readObject('config/main');
		assert.equal(read.kind, 'found');
		const written = await client.writeObject(
			'config/main',
			{
				...platformDocument,
				version: (firstVersion + version).toString(16).padStart(8, '0'),
			},
			{
				kind: 'version',
				version: read.kind === 'found' ? read.object.version : 0,
			},
		);
		assert.equal(written.kind, 'written');
		for (const node of settings) {
			await waitForGauge(
				node,
				['configuration_version', firstVersion + version],
				changeMs,
			);
		}
	}
});

// Regression: an id or a service that no record can hold made the records of its node unreadable to the others.
test('a server is found by other nodes beside odd heartbeats at its node', async (t) => {
	const {settings} = await start(t);
	const [local, remote] = settings;
	const upstream = createServer((request, response) => {
		const id = request.headers['x-boragehitch-request-id'];
		response.setHeader('x-boragehitch-response-signature', 'signed');
		response.setHeader('x-boragehitch-request-id', String(id));
		response.end();
	});
	const address = await listen(upstream, t);
	const odd: ReadonlyArray<readonly [string, unknown]> = [
		['a'.repeat(65), 'pricebook'],
		['i-2', 'b'.repeat(130)],
		['i-3', 'constructor'],
		['i-4', '__proto__'],
		['%C3%A4', 'pricebook'],
	];
	for (const [id, service] of odd) {
		await sendRequest(local!.announcements, `/instances/${id}/heartbeat`, {
			method: 'POST',
			body: JSON.stringify({
				address: '127.0.0.1:1',
				info: {service, slots: 6},
				status: {state: 'ready', sequence: 1},
			}),
		});
	}

	await announceUpstream(local!, address);
	await waitUntilServed(remote!);
	await waitForGauge(remote!, ['members', 2], readyTimeoutMs);
});

/** Parts that make a resource odd, and such that it can still be used. */
const unusableParts = Object.fromEntries<unknown>([
	['path_prefix', '/odd/'],
	['timeout_s', -1],
	['max_connections', 9e15],
]);
const extremeParts = Object.fromEntries<unknown>([
	['timeout_s', 9e15],
	['target_latency_s', 9e15],
	['health_path', '/a b'],
]);

// Regression: requests of a route whose time was beyond the longest timer ended at once.
test('requests are served beside odd resources of the document', async (t) => {
	const {client, settings} = await start(t);
	const odd = platformDocument.resources.map((resource) => ({
		...resource,
		metadata: {name: `odd-${resource.metadata.name}`},
		spec: {...resource.spec, ...unusableParts},
	}));
	const resources = platformDocument.resources.map((resource) => ({
		...resource,
		spec: {...resource.spec, ...extremeParts},
	}));
	const read = await client.readObject('config/main');
	assert.equal(read.kind, 'found');
	await client.writeObject(
		'config/main',
		{version: '00000100', resources: [...odd, 7, null, ...resources]},
		{
			kind: 'version',
			version: read.kind === 'found' ? read.object.version : 0,
		},
	);
	const upstream = createServer((request, response) => {
		const id = request.headers['x-boragehitch-request-id'];
		request.resume();
		request.on('end', () => {
			response.setHeader('x-boragehitch-response-signature', 'signed');
			response.setHeader('x-boragehitch-request-id', String(id));
			response.end();
		});
	});
	const address = await listen(upstream, t);
	const [local, remote] = settings;
	await waitForGauge(local!, ['configuration_version', 256], changeMs);
	const {settings: started} = await startPlatformNode(
		t,
		'abdali-3',
		local!.store,
		{service: 'pricebook', upstreamAddress: address},
	);
	await waitForGauge(started, ['configuration_version', 256], readyTimeoutMs);
	await announceUpstream(started, address);
	await waitUntilServed(remote!);
	for (const method of ['GET', 'POST']) {
		for (const deadlineMs of [2000, 9e15]) {
			const {status} = await sendRequest(remote!.callers, '/prices/lamb', {
				method,
				body: method === 'POST' ? 'lamb' : '',
				deadlineMs,
			});
			assert.equal(status, 200, `${method} ${deadlineMs}`);
		}
	}
});
