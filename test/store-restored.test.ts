/**
 * Tests of a store that comes back from a copy some seconds old, on real nodes.
 */
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {platformDocument} from '../fakes/platform-document.js';
import {startPlatform, type Platform} from '../fakes/platform-stand-in.js';
import {createSilentLogger} from '../harness/create-silent-logger.js';
import {
	readMetrics,
	readyTimeoutMs,
	startPlatformNode,
} from '../harness/_lib/platform-node.js';
import {pollUntil} from '../harness/poll-until.js';
import {createStoreClient} from '../platform/create-store-client.js';
import type {MeshSettings} from '../src/protocol/mesh-settings.js';

const versionDigits = 8;

/** Starts a store, with ways to write versions of the configuration. */
async function startStore(t: TestContext) {
	const platform = await startPlatform();
	const address = new URL(platform.url).host;
	const client = createStoreClient(address, {logger: createSilentLogger()});
	t.after(async () => {
		await client.stop();
		await platform.stop();
	});
	return {
		platform,
		address,
		async writeVersion(version: number) {
			const read = await client.readObject('config/main');
			const outcome = await client.writeObject(
				'config/main',
				{
					...platformDocument,
					version: version.toString(16).padStart(versionDigits, '0'),
				},
				read.kind === 'found'
					? {kind: 'version', version: read.object.version}
					: {kind: 'absent'},
			);
			assert.equal(outcome.kind, 'written');
		},
		async hasSeeds() {
			const {kind} = await client.readObject('members/abdali');
			return kind === 'found';
		},
	};
}

async function readGauge(
	settings: MeshSettings,
	name: string,
): Promise<number> {
	const text = await readMetrics(settings);
	return Number(new RegExp(`^${name} (.*)$`, 'mv').exec(text)?.[1]);
}

async function waitForGauge(
	settings: MeshSettings,
	name: string,
	value: number,
): Promise<void> {
	const isReached = await pollUntil(
		async () => (await readGauge(settings, name)) === value,
		readyTimeoutMs,
	);
	assert.ok(isReached, `${name} is ${await readGauge(settings, name)}`);
}

const versionGauge = 'boragehitch_configuration_version';
const membersGauge = 'boragehitch_members';

/** Waits until a watch has begun, so that the restored store cuts it. */
async function waitForWatch(platform: Platform): Promise<void> {
	const isWatching = await pollUntil(
		async () => platform.readCalls().watching > 0,
		readyTimeoutMs,
	);
	assert.ok(isWatching);
}

for (const hidesEra of [false, true]) {
	const era = hidesEra ? 'without an era' : 'in another era';
	test(`a version that gets a revision which was given out before ${era} is put in force`, async (t) => {
		const {platform, address, writeVersion} = await startStore(t);
		platform.setFaults({hidesEra});
		await writeVersion(7);
		const {settings} = await startPlatformNode(t, 'abdali-1', address);
		await waitForGauge(settings, versionGauge, 7);
		const copy = platform.takeCopy();
		await writeVersion(8);
		await writeVersion(9);
		await waitForGauge(settings, versionGauge, 9);
		await waitForWatch(platform);
		// As many changes as before, so that the node's revision is valid again, with other content.
		platform.restore(copy);
		await writeVersion(9);
		await writeVersion(10);
		await waitForGauge(settings, versionGauge, 10);
	});
}

test('a version lower than the running one is not run when the store has lost the latter', async (t) => {
	const {platform, address, writeVersion} = await startStore(t);
	await writeVersion(7);
	const {settings} = await startPlatformNode(t, 'abdali-1', address);
	await waitForGauge(settings, versionGauge, 7);
	const copy = platform.takeCopy();
	await writeVersion(9);
	await waitForGauge(settings, versionGauge, 9);
	platform.restore(copy);
	await waitForWatch(platform);
	assert.equal(await readGauge(settings, versionGauge), 9);
	await writeVersion(8);
	await writeVersion(10);
	await waitForGauge(settings, versionGauge, 10);
});

test('a node that starts after the store has lost the addresses of the others finds them', async (t) => {
	const {platform, address, writeVersion, hasSeeds} = await startStore(t);
	await writeVersion(7);
	const copy = platform.takeCopy();
	const first = await startPlatformNode(t, 'abdali-1', address);
	const second = await startPlatformNode(t, 'abdali-2', address);
	await waitForGauge(first.settings, membersGauge, 2);
	const isWritten = await pollUntil(hasSeeds, readyTimeoutMs);
	assert.ok(isWritten);
	platform.restore(copy);
	const isWrittenAgain = await pollUntil(hasSeeds, readyTimeoutMs / 2);
	assert.ok(isWrittenAgain, 'nobody has written the addresses again');
	const third = await startPlatformNode(t, 'abdali-3', address);
	await waitForGauge(third.settings, membersGauge, 3);
});
