import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {z} from 'zod';
import {type Platform, startPlatform} from './platform-stand-in.js';

const pageSchema = z.object({items: z.array(z.unknown()), more: z.boolean()});

const answerSchema = z.object({
	metadata: z.object({revision: z.int()}).optional(),
});

async function start(context: TestContext): Promise<Platform> {
	const platform = await startPlatform();
	context.after(async () => platform.stop());
	return platform;
}

/** Creates an object, or replaces it under a revision. */
async function put(
	url: string,
	key: string,
	spec: unknown,
	revision?: number,
): Promise<{status: number; revision: unknown}> {
	const [kind, name] = key.split('/');
	const isNew = revision === undefined;
	const response = await fetch(
		isNew ? `${url}/objects/${kind}` : `${url}/objects/${kind}/${name}`,
		{
			method: isNew ? 'POST' : 'PUT',
			body: JSON.stringify({metadata: {name, revision}, spec}),
		},
	);
	const body: unknown = await response.json();
	return {
		status: response.status,
		revision: answerSchema.parse(body).metadata?.revision,
	};
}

/** An object as it is answered, without what never changes. */
function createObject(name: string, revision: number, spec: unknown) {
	return {
		metadata: {name, revision, finalizers: [], deleting: false},
		spec,
		status: null,
	};
}

async function readJson(address: string): Promise<unknown> {
	const response = await fetch(address);
	return response.json();
}

async function waitForWatch(platform: Platform): Promise<void> {
	while (platform.readCalls().watching === 0) {
		await new Promise((resolve) => {
			setTimeout(resolve, 5);
		});
	}
}

test('writes and removals hold to their conditions', async (context) => {
	const {url} = await start(context);
	assert.deepEqual(await put(url, 'a/b', 1), {status: 200, revision: 1});
	assert.deepEqual(await put(url, 'a/b', 2), {status: 409, revision: 1});
	assert.deepEqual(await put(url, 'a/c', 2, 7), {
		status: 404,
		revision: undefined,
	});
	assert.deepEqual(await put(url, 'a/b', 2, 7), {status: 409, revision: 1});
	assert.deepEqual(await put(url, 'a/b', 2, 1), {status: 200, revision: 2});
	const bare = await put(url, 'a/d', undefined);
	assert.equal(bare.status, 400);
	const large = await put(url, 'a/big', 'x'.repeat(1024 * 1024));
	assert.equal(large.status, 413);
	assert.deepEqual(
		await readJson(`${url}/objects/a/b`),
		createObject('b', 2, 2),
	);

	const statuses: number[] = [];
	for (const revision of [1, 2, 2]) {
		const response = await fetch(`${url}/objects/a/b?revision=${revision}`, {
			method: 'DELETE',
		});
		statuses.push(response.status);
	}

	assert.deepEqual(statuses, [409, 200, 404]);
	assert.deepEqual(await readJson(`${url}/objects/a/b`), {error: 'not-found'});
});

test('a listing is sorted and paged', async (context) => {
	const {url} = await start(context);
	for (const key of ['t/c', 't/a', 'u/a', 't/b']) {
		await put(url, key, key);
	}

	assert.deepEqual(await readJson(`${url}/objects/t`), {
		items: [
			createObject('a', 2, 't/a'),
			createObject('b', 4, 't/b'),
			createObject('c', 1, 't/c'),
		],
		current_rev: 4,
		more: false,
	});
	assert.deepEqual(await readJson(`${url}/objects/t?after=b`), {
		items: [createObject('c', 1, 't/c')],
		current_rev: 4,
		more: false,
	});
	for (let index = 0; index < 501; index++) {
		await put(url, `v/${String(index).padStart(3, '0')}`, index);
	}

	const page = pageSchema.parse(await readJson(`${url}/objects/v`));
	assert.equal(page.items.length, 500);
	assert.equal(page.more, true);
});

test('a watch answers with the first change of its kind', async (context) => {
	const platform = await start(context);
	const {url} = platform;
	const watch = readJson(`${url}/objects/t?watch=0&wait_ms=30000`);
	await waitForWatch(platform);
	await put(url, 'u/a', 1);
	await put(url, 't/a', 2);
	assert.deepEqual(await watch, {
		events: [{object: createObject('a', 2, 2), deleted: false}],
		current_rev: 2,
	});
	await fetch(`${url}/objects/t/a?revision=2`, {method: 'DELETE'});
	assert.deepEqual(await readJson(`${url}/objects/t?watch=2`), {
		events: [{object: createObject('a', 3, null), deleted: true}],
		current_rev: 3,
	});
	assert.deepEqual(await readJson(`${url}/objects/t?watch=3&wait_ms=1`), {
		events: [],
		current_rev: 3,
	});
});

test('a watch waits 30 s at most by the clock given', async (context) => {
	const waits: number[] = [];
	const platform = await startPlatform({
		clock: {
			schedule(ms, action) {
				waits.push(ms);
				setImmediate(action);
				return () => undefined;
			},
		},
	});
	context.after(async () => platform.stop());
	assert.deepEqual(
		await readJson(`${platform.url}/objects/a?watch=0&wait_ms=90000`),
		{
			events: [],
			current_rev: 0,
		},
	);
	assert.deepEqual(waits, [30_000]);
});

test('a lost answer leaves the write in effect', async (context) => {
	const platform = await start(context);
	platform.setFaults({loseAnswers: 1});
	await assert.rejects(put(platform.url, 'a/b', 1));
	assert.deepEqual(await put(platform.url, 'a/b', 1), {
		status: 409,
		revision: 1,
	});
});

test('down refuses data calls, cuts watches and keeps control', async (context) => {
	const platform = await start(context);
	const {url} = platform;
	const cut = assert.rejects(
		readJson(`${url}/objects/a?watch=0&wait_ms=30000`),
	);
	await waitForWatch(platform);
	await fetch(`${url}/control/faults`, {method: 'PUT', body: '{"down":true}'});
	await cut;
	const {status} = await put(url, 'a/b', 1);
	assert.equal(status, 503);
	assert.deepEqual(await readJson(`${url}/control/calls`), {
		reads: 0,
		writes: 1,
		watches: 1,
		watching: 0,
	});
});

test('a silent watch stays open past a change', async (context) => {
	const platform = await start(context);
	platform.setFaults({silentWatches: true});
	const watch = readJson(`${platform.url}/objects/a?watch=0&wait_ms=1`);
	await waitForWatch(platform);
	await put(platform.url, 'a/b', 1);
	assert.equal(platform.readCalls().watching, 1);
	await platform.stop();
	assert.deepEqual(await watch, {events: [], current_rev: 1});
});

test('the executable prints its URL and stops gracefully', async () => {
	const main = fileURLToPath(new URL('platform-main.ts', import.meta.url));
	const child = spawn(process.execPath, ['--import', 'tsx', main], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	const exit = once(child, 'exit');
	const printed = await once(child.stdout.setEncoding('utf8'), 'data');
	const {url} = z.object({url: z.url()}).parse(JSON.parse(printed.join('')));
	const watch = readJson(`${url}/objects/a?watch=0&wait_ms=30000`);
	await waitForWatchAt(url);
	child.kill('SIGTERM');
	assert.deepEqual(await watch, {events: [], current_rev: 0});
	assert.deepEqual(await exit, [0, null]);
});

async function waitForWatchAt(url: string): Promise<void> {
	const calls = await readJson(`${url}/control/calls`);
	if (z.object({watching: z.number()}).parse(calls).watching === 0) {
		await waitForWatchAt(url);
	}
}
