import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {z} from 'zod';
import {type Platform, startPlatform} from './platform-stand-in.js';

async function start(context: TestContext): Promise<Platform> {
	const platform = await startPlatform();
	context.after(async () => platform.stop());
	return platform;
}

async function put(
	url: string,
	key: string,
	value: unknown,
	headers?: Record<string, string>,
): Promise<{status: number; body: unknown}> {
	const response = await fetch(`${url}/objects/${key}`, {
		method: 'PUT',
		headers: headers ?? {'if-none-match': '*'},
		body: JSON.stringify(value),
	});
	return {status: response.status, body: await response.json()};
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
	assert.deepEqual(await put(url, 'a/b', 1), {status: 200, body: {version: 1}});
	assert.deepEqual(await put(url, 'a/b', 2), {
		status: 412,
		body: {error: 'conflict', version: 1},
	});
	assert.deepEqual(await put(url, 'a/c', 2, {'if-match': '"7"'}), {
		status: 412,
		body: {error: 'conflict', version: 0},
	});
	assert.deepEqual(await put(url, 'a/b', 2, {'if-match': '"1"'}), {
		status: 200,
		body: {version: 2},
	});
	const bare = await put(url, 'a/b', 3, {});
	assert.equal(bare.status, 400);
	const large = await put(url, 'big', 'x'.repeat(1024 * 1024));
	assert.equal(large.status, 413);
	assert.deepEqual(await readJson(`${url}/objects/a/b`), {
		key: 'a/b',
		version: 2,
		value: 2,
	});

	const statuses: number[] = [];
	for (const version of [1, 2, 2]) {
		const response = await fetch(`${url}/objects/a/b`, {
			method: 'DELETE',
			headers: {'if-match': `"${version}"`},
		});
		statuses.push(response.status);
	}

	assert.deepEqual(statuses, [412, 200, 404]);
	assert.deepEqual(await readJson(`${url}/objects/a/b`), {error: 'not-found'});
});

test('a listing is sorted and paged', async (context) => {
	const {url} = await start(context);
	for (const key of ['t/c', 't/a', 'u/a', 't/b']) {
		await put(url, key, key);
	}

	assert.deepEqual(await readJson(`${url}/objects?prefix=t/&limit=2`), {
		items: [
			{key: 't/a', version: 2, value: 't/a'},
			{key: 't/b', version: 4, value: 't/b'},
		],
		revision: 4,
		more: true,
	});
	assert.deepEqual(await readJson(`${url}/objects?prefix=t/&after=t/b`), {
		items: [{key: 't/c', version: 1, value: 't/c'}],
		revision: 4,
		more: false,
	});
});

test('a watch answers with the first change under its prefix', async (context) => {
	const platform = await start(context);
	const {url} = platform;
	const watch = readJson(`${url}/watch?prefix=t/&after=0&waitMs=30000`);
	await waitForWatch(platform);
	await put(url, 'u/a', 1);
	await put(url, 't/a', 2);
	assert.deepEqual(await watch, {
		items: [{key: 't/a', version: 2, value: 2}],
		revision: 2,
	});
	await fetch(`${url}/objects/t/a`, {
		method: 'DELETE',
		headers: {'if-match': '"2"'},
	});
	assert.deepEqual(await readJson(`${url}/watch?prefix=t/&after=2`), {
		items: [{key: 't/a', version: 3, value: null}],
		revision: 3,
	});
	assert.deepEqual(await readJson(`${url}/watch?prefix=t/&after=3&waitMs=1`), {
		items: [],
		revision: 3,
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
	assert.deepEqual(await readJson(`${platform.url}/watch?waitMs=90000`), {
		items: [],
		revision: 0,
	});
	assert.deepEqual(waits, [30_000]);
});

test('a lost answer leaves the write in effect', async (context) => {
	const platform = await start(context);
	platform.setFaults({loseAnswers: 1});
	await assert.rejects(put(platform.url, 'a', 1));
	assert.deepEqual(await put(platform.url, 'a', 1), {
		status: 412,
		body: {error: 'conflict', version: 1},
	});
});

test('down refuses data calls, cuts watches and keeps control', async (context) => {
	const platform = await start(context);
	const {url} = platform;
	const cut = assert.rejects(readJson(`${url}/watch`));
	await waitForWatch(platform);
	await fetch(`${url}/control/faults`, {method: 'PUT', body: '{"down":true}'});
	await cut;
	const {status} = await put(url, 'a', 1);
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
	const watch = readJson(`${platform.url}/watch?waitMs=1`);
	await waitForWatch(platform);
	await put(platform.url, 'a', 1);
	assert.equal(platform.readCalls().watching, 1);
	await platform.stop();
	assert.deepEqual(await watch, {items: [], revision: 1});
});

test('the executable prints its URL and stops gracefully', async () => {
	const main = fileURLToPath(new URL('platform-main.ts', import.meta.url));
	const child = spawn(process.execPath, ['--import', 'tsx', main], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	const exit = once(child, 'exit');
	const printed = await once(child.stdout.setEncoding('utf8'), 'data');
	const {url} = z.object({url: z.url()}).parse(JSON.parse(printed.join('')));
	const watch = readJson(`${url}/watch`);
	await waitForWatchAt(url);
	child.kill('SIGTERM');
	assert.deepEqual(await watch, {items: [], revision: 0});
	assert.deepEqual(await exit, [0, null]);
});

async function waitForWatchAt(url: string): Promise<void> {
	const calls = await readJson(`${url}/control/calls`);
	if (z.object({watching: z.number()}).parse(calls).watching === 0) {
		await waitForWatchAt(url);
	}
}
