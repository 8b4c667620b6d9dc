import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {mkdtemp, readdir, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test, {type TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {pollUntil} from '../harness/poll-until.js';

const timeoutMs = 60_000;

/** Variable in the environment of all processes of a run, by which they are found. */
const markName = 'BORAGEHITCH_BENCH_MARK';

/** Compiled program of the benchmarks. */
const benchFile = fileURLToPath(
	new URL('../dist/bench/main.js', import.meta.url),
);

/** Lists the processes that a run has started and that still run. */
async function listMarked(mark: string): Promise<readonly number[]> {
	const names = await readdir('/proc');
	const found: number[] = [];
	for (const name of names.filter((it) => /^\d+$/v.test(it))) {
		try {
			const environment = await readFile(`/proc/${name}/environ`, 'utf8');
			if (environment.includes(`${markName}=${mark}`)) {
				found.push(Number(name));
			}
		} catch {
			// The process has ended, or belongs to another user.
		}
	}

	return found;
}

type Run = {
	readonly child: ChildProcess;
	/** Returns the processes of the run, itself included. */
	readonly list: () => Promise<readonly number[]>;
	readonly readErrors: () => string;
};

/** Starts the bench with a program as the node; kills what is left of it after the test. */
async function startBench(
	t: TestContext,
	program: string,
	{isInShell = false} = {},
): Promise<Run> {
	const folder = await mkdtemp(path.join(tmpdir(), 'boragehitch-'));
	const target = path.join(folder, 'program.mjs');
	await writeFile(target, program);
	const mark = randomUUID();
	const argv = [benchFile, 'cost', '--target', target];
	const command = [process.execPath, ...argv].join(' ');
	const child = spawn(
		isInShell ? 'sh' : process.execPath,
		isInShell ? ['-c', `${command}; exit $?`] : argv,
		{
			stdio: ['ignore', 'ignore', 'pipe'],
			env: {...process.env, [markName]: mark},
		},
	);
	let errors = '';
	child.stderr.on('data', (chunk) => {
		errors += String(chunk);
	});
	const list = async () => listMarked(mark);
	t.after(async () => {
		for (const pid of await list()) {
			process.kill(pid, 'SIGKILL');
		}

		await rm(folder, {recursive: true});
	});
	return {child, list, readErrors: () => errors};
}

/** Waits until a process has ended, and returns its exit code. */
async function waitForExitCode(child: ChildProcess): Promise<number> {
	await once(child, 'close');
	return child.exitCode ?? Number.NaN;
}

/** Waits until the bench has started processes of its own. */
async function waitForChildren({list}: Run, count: number): Promise<void> {
	const haveStarted = await pollUntil(async () => {
		const pids = await list();
		return pids.length >= count;
	}, timeoutMs);
	assert.ok(haveStarted);
}

async function waitForNoProcess({list}: Run): Promise<void> {
	let pids: readonly number[] = [];
	const haveEnded = await pollUntil(async () => {
		pids = await list();
		return pids.length === 0;
	}, timeoutMs);
	assert.ok(haveEnded, `still there: ${pids.join(', ')}`);
}

// Regression: the bench waited for ever, and left the plain forwarders running.
test('a cost bench whose nodes cannot start fails and leaves no process', async (t) => {
	const run = await startBench(t, "throw new Error('cannot listen');");
	const code = await waitForExitCode(run.child);
	assert.equal(code, 1);
	assert.match(
		run.readErrors(),
		/^bench cost failed: node at the \w+ ended \(1\): .*cannot listen.*\n$/v,
	);
	assert.deepEqual(await run.list(), []);
});

test('a cost bench without the program of a node fails', async (t) => {
	const run = await startBench(t, '');
	const child = spawn(
		process.execPath,
		[benchFile, 'cost', '--target', 'no-such-file.mjs'],
		{stdio: 'ignore'},
	);
	// Waited for together: either may end first, and its event comes once only.
	const [code, emptyCode] = await Promise.all([
		waitForExitCode(child),
		waitForExitCode(run.child),
	]);
	assert.equal(code, 1);
	// An empty program ends at once, which is no start either.
	assert.equal(emptyCode, 1);
	await waitForNoProcess(run);
});

test('an interrupted cost bench fails and leaves no process', async (t) => {
	const run = await startBench(t, 'setInterval(() => {}, 1000);');
	// The bench and two nodes.
	await waitForChildren(run, 3);
	run.child.kill('SIGTERM');
	const code = await waitForExitCode(run.child);
	assert.equal(code, 1);
	assert.equal(run.readErrors(), 'bench cost failed: interrupted by SIGTERM\n');
	await waitForNoProcess(run);
});

test('a cost bench ends with the process that has started it', async (t) => {
	const run = await startBench(t, 'setInterval(() => {}, 1000);', {
		isInShell: true,
	});
	// The shell, the bench and two nodes.
	await waitForChildren(run, 4);
	run.child.kill('SIGKILL');
	await waitForNoProcess(run);
});
