import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {request} from 'undici';
import {z} from 'zod';
import {createCostlineManifest} from '../demo/costline-manifest.js';
import {pollUntil} from '../harness/poll-until.js';
import {startHost, type Host} from '../harness/start-host.js';
import {startProcess, type FleetProcess} from '../harness/start-process.js';
import {
	submissionOutcomeSchema,
	type SubmissionOutcome,
} from '../src/protocol/configuration.js';

const timeoutMs = 30_000;
const size = 4;

const membersSchema = z.array(z.looseObject({state: z.string()}));
const versionsSchema = z.looseObject({version: z.number()});

type Fleet = {readonly platform: FleetProcess; readonly hosts: Host[]};

async function startFleet(t: TestContext): Promise<Fleet> {
	const platform = await startProcess('platform', []);
	t.after(platform.kill);
	const hosts: Host[] = [];
	for (let index = 0; index < size; index++) {
		hosts.push(await startMember(t, platform, `abdali-${index}`, hosts));
	}

	const isJoined = await pollUntil(async () => {
		const sizes = await Promise.all(
			hosts.map(async (host) => countAlive(host)),
		);
		return sizes.every((count) => count === size);
	}, timeoutMs);
	assert.ok(isJoined, 'the members did not find each other');
	return {platform, hosts};
}

async function startMember(
	t: TestContext,
	platform: FleetProcess,
	name: string,
	others: readonly Host[],
): Promise<Host> {
	const host = await startHost({
		name,
		dataCentre: 'abdali',
		platformUrl: platform.ready.url!,
		team: 'kitchens',
		seeds: others.map(({node}) => node.ready.peers!),
	});
	t.after(async () => {
		host.node.child.kill('SIGCONT');
		await host.node.kill();
	});
	return host;
}

async function readJson(host: Host, path: string): Promise<unknown> {
	const {body} = await request(
		`http://${host.node.ready.administration}${path}`,
		{headersTimeout: 5000},
	);
	return body.json();
}

async function countAlive(host: Host): Promise<number> {
	const members = membersSchema.parse(await readJson(host, '/members'));
	return members.filter(({state}) => state === 'alive').length;
}

async function readVersion(host: Host): Promise<number> {
	return versionsSchema.parse(await readJson(host, '/versions')).version;
}

async function runsEverywhere(
	hosts: readonly Host[],
	version: number,
): Promise<boolean> {
	return pollUntil(async () => {
		const versions = await Promise.all(
			hosts.map(async (host) => readVersion(host)),
		);
		return versions.every((running) => running >= version);
	}, timeoutMs);
}

async function submit(
	host: Host,
	replaces: number,
	submissionId: string,
): Promise<SubmissionOutcome> {
	const {body} = await request(
		`http://${host.node.ready.administration}/manifests`,
		{
			method: 'POST',
			headers: {'idempotency-key': submissionId},
			body: JSON.stringify(createCostlineManifest(replaces)),
		},
	);
	return submissionOutcomeSchema.parse(await body.json());
}

async function setFaults(
	{platform}: Fleet,
	faults: Readonly<Record<string, unknown>>,
): Promise<void> {
	const {body} = await request(`${platform.ready.url}/control/faults`, {
		method: 'PUT',
		body: JSON.stringify(faults),
	});
	await body.dump();
}

for (const signal of ['SIGKILL', 'SIGSTOP'] as const) {
	test(`each node in turn gets ${signal}, and the others go on`, async (t) => {
		const {hosts} = await startFleet(t);
		for (const [index, host] of hosts.entries()) {
			if (index === 2) {
				break;
			}

			const others = hosts.slice(index + 1);
			host.node.child.kill(signal);
			const outcome = await submit(others[0]!, index, `after-${index}`);
			assert.equal(outcome.kind, 'accepted');
			assert.ok(await runsEverywhere(others, index + 1));
		}

		if (signal === 'SIGSTOP') {
			for (const host of hosts) {
				host.node.child.kill('SIGCONT');
			}

			assert.ok(await runsEverywhere(hosts, 2));
		}
	});
}

test('a submission during an outage of the platform is not accepted, and later is', async (t) => {
	const fleet = await startFleet(t);
	const [first] = fleet.hosts;
	await setFaults(fleet, {down: true});
	const during = await submit(first!, 0, 'outage');
	assert.equal(during.kind, 'unavailable');
	await setFaults(fleet, {});
	const after = await submit(first!, 0, 'outage');
	assert.equal(after.kind, 'accepted');
	assert.ok(await runsEverywhere(fleet.hosts, 1));
});

test('a lost answer is resolved by reading back, and repeats get it again', async (t) => {
	const fleet = await startFleet(t);
	const [first, second] = fleet.hosts;
	await setFaults(fleet, {loseAnswers: 1});
	const outcome = await submit(first!, 0, 'lost');
	assert.equal(outcome.kind, 'accepted');
	assert.ok(await runsEverywhere(fleet.hosts, 1));
	assert.deepEqual(await submit(second!, 0, 'lost'), outcome);
	const other = await submit(second!, 0, 'other');
	assert.ok(other.kind === 'refused' && other.currentRevision === 1);
});

test('a host replaced during an outage runs nothing older than before', async (t) => {
	const fleet = await startFleet(t);
	const {hosts, platform} = fleet;
	for (const revision of [0, 1]) {
		const outcome = await submit(hosts[0]!, revision, `s-${revision}`);
		assert.equal(outcome.kind, 'accepted');
		assert.ok(await runsEverywhere(hosts, revision + 1));
	}

	await setFaults(fleet, {down: true});
	const [gone, ...rest] = hosts;
	await gone!.node.kill();
	const again = await startMember(t, platform, gone!.name, rest);
	const seen = new Set<number>();
	const runs = await pollUntil(async () => {
		const version = await readVersion(again);
		seen.add(version);
		return version === 2;
	}, timeoutMs);
	assert.ok(runs);
	assert.ok(!seen.has(1));
});
