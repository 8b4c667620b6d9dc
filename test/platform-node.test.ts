import assert from 'node:assert/strict';
import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, open, rm} from 'node:fs/promises';
import {createServer} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'node:test';
import {formatPlatformSettings} from '../fakes/platform-settings.js';
import {resolveProgram} from '../harness/resolve-program.js';
import {settingsFileVariable} from '../platform/wire-names.js';

test('a node that is told of new settings while it starts goes on', async (t) => {
	const folder = await mkdtemp(path.join(tmpdir(), 'boragehitch-'));
	const file = path.join(folder, 'boot.yaml');
	// Holds the program at the reading of its settings.
	execFileSync('mkfifo', [file]);
	const store = createServer();
	store.listen(0, '127.77.0.2');
	await once(store, 'listening');
	const child = spawn(process.execPath, [resolveProgram('node'), 'node'], {
		stdio: ['ignore', 'pipe', 'inherit'],
		env: {...process.env, [settingsFileVariable]: file},
	});
	t.after(async () => {
		child.kill('SIGKILL');
		store.close();
		store.closeAllConnections();
		await rm(folder, {recursive: true});
	});
	const settings = formatPlatformSettings({
		name: 'abdali-1',
		dataCentre: 'abdali',
		ip: '127.77.0.1',
		callersPort: 8300,
		readinessPort: 8302,
		announcementsPort: 8306,
		peersPort: 7620,
		upstreamAddress: '127.77.0.1:8301',
		store: '127.77.0.2:1',
		graceMs: 6000,
	});
	const ended = once(child, 'exit').then(() => 'ended');
	// A pipe opens once its reader does, which a program that has ended never does.
	const opening = open(file, 'w');
	const pipe = await Promise.race([opening, ended]);
	if (typeof pipe === 'string') {
		// Ends the wait for a reader.
		const reader = await open(file, 'r');
		await Promise.all([reader.close(), opening.then(async (it) => it.close())]);
		assert.fail('the program has ended before it read its settings');
	}

	child.kill('SIGHUP');
	const [first] = await Promise.race([
		(async () => {
			await pipe.writeFile(settings);
			await pipe.close();
			return once(child.stdout, 'data');
		})(),
		ended.then((text) => [text]),
	]);
	assert.match(String(first), /node started/v);
});
