import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {formatPlatformSettings} from '../fakes/platform-settings.js';
import {resolveProgram} from '../harness/resolve-program.js';
import {settingsFileVariable} from '../platform/wire-names.js';

const host = '127.77.1.1';
const callersPort = 8300;

/** Tells whether the node accepts connections of callers. */
async function isListening(): Promise<boolean> {
	const socket = connect(callersPort, host);
	try {
		await once(socket, 'connect');
		return true;
	} catch {
		return false;
	} finally {
		socket.destroy();
	}
}

// Regression: a signal before the end of the start killed a node that already accepted requests.
test('a node that is stopped as soon as it accepts connections drains', async (t) => {
	const folder = await mkdtemp(path.join(tmpdir(), 'boragehitch-'));
	const file = path.join(folder, 'boot.yaml');
	const store = createServer();
	store.listen(0, '127.77.1.2');
	await once(store, 'listening');
	const bound = store.address();
	await writeFile(
		file,
		formatPlatformSettings({
			name: 'abdali-1',
			dataCentre: 'abdali',
			ip: host,
			callersPort,
			readinessPort: 8302,
			announcementsPort: 8306,
			peersPort: 7620,
			upstreamAddress: `${host}:8301`,
			store: `127.77.1.2:${typeof bound === 'object' ? bound?.port : 0}`,
			graceMs: 6000,
		}),
	);
	const child = spawn(process.execPath, [resolveProgram('node'), 'node'], {
		stdio: ['ignore', 'ignore', 'inherit'],
		env: {...process.env, [settingsFileVariable]: file},
	});
	t.after(async () => {
		child.kill('SIGKILL');
		store.close();
		store.closeAllConnections();
		await rm(folder, {recursive: true});
	});
	const ended = once(child, 'exit');
	while (child.exitCode === null && !(await isListening())) {
		await sleep(1);
	}

	child.kill('SIGTERM');
	assert.deepEqual(await ended, [0, null]);
});
