import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';

/** How a process is started. */
export type BenchProcessOptions = {
	/** What the process is, for messages; also the name of its output files. */
	readonly name: string;
	readonly argv: readonly string[];
	readonly environment?: Readonly<Record<string, string>>;
};

/** The processes of a benchmark, which end with it. */
export type BenchProcesses = {
	/** Rejects once a process has ended that was not told to, or could not be started. */
	readonly failed: Promise<never>;
	start(options: BenchProcessOptions): ChildProcess;
	/** Reads what a process has written to standard error. */
	readErrors(child: ChildProcess): Promise<string>;
	/** Asks all processes to stop; kills those that have not after a time. */
	stop(): Promise<void>;
	/** Kills all processes at once. */
	kill(): void;
};

/** Time that a process gets to stop, ms; longer than the grace time of a node. */
const stopTimeoutMs = 8000;

/** Where a process opens its inspector at SIGUSR1: at a free port. */
const inspectorOption = '--inspect-port=127.0.0.1:0';

/** Maximum length of a process's last words in a message, characters. */
const maxWordsLength = 300;

function isRunning(child: ChildProcess): boolean {
	return (
		child.pid !== undefined &&
		child.exitCode === null &&
		child.signalCode === null
	);
}

/**
 * Creates the set of processes of a benchmark.
 *
 * @param folder - folder for what they write
 * @returns the set, without any process yet
 * @example
 * const processes = createBenchProcesses(folder);
 */
export function createBenchProcesses(folder: string): BenchProcesses {
	const children = new Set<ChildProcess>();
	const names = new WeakMap<ChildProcess, string>();
	let isStopping = false;
	let fail: (error: Error) => void = () => undefined;
	const failed = new Promise<never>((_resolve, reject) => {
		fail = reject;
	});
	// Whoever waits for the processes handles the failure.
	failed.catch(() => undefined);

	function formatFile(name: string, stream: 'out' | 'err'): string {
		return path.join(folder, `${name.replaceAll(/\W+/gv, '-')}.${stream}`);
	}

	/** Finds the line that says why a process has ended. */
	async function readLastWords(name: string): Promise<string> {
		const errors = await readFile(formatFile(name, 'err'), 'utf8');
		const output = await readFile(formatFile(name, 'out'), 'utf8');
		const lines = `${output}\n${errors}`.trim().split('\n');
		const isReason = (line: string): boolean =>
			/error|cannot/iv.test(line) && !line.startsWith(' ');
		const line = lines.find((it) => isReason(it)) ?? lines.at(-1) ?? '';
		return line.slice(0, maxWordsLength);
	}

	function start({
		name,
		argv,
		environment = {},
	}: BenchProcessOptions): ChildProcess {
		const output = openSync(formatFile(name, 'out'), 'w');
		const errors = openSync(formatFile(name, 'err'), 'w');
		const child = spawn(process.execPath, [inspectorOption, ...argv], {
			stdio: ['ignore', output, errors],
			env: {...process.env, ...environment},
		});
		closeSync(output);
		closeSync(errors);
		children.add(child);
		names.set(child, name);
		child.once('error', (error) => {
			fail(new Error(`${name} was not started: ${error.message}`));
		});
		child.once('exit', (code, signal) => {
			children.delete(child);
			if (isStopping) {
				return;
			}

			void readLastWords(name).then((words) => {
				fail(new Error(`${name} ended (${code ?? signal}): ${words}`));
			});
		});
		return child;
	}

	function kill(): void {
		isStopping = true;
		for (const child of children) {
			child.kill('SIGKILL');
		}
	}

	return {
		start,
		failed,
		readErrors: async (child) =>
			readFile(formatFile(names.get(child) ?? '', 'err'), 'utf8'),
		async stop() {
			isStopping = true;
			const ends = [...children]
				.filter((child) => isRunning(child))
				.map(async (child) => once(child, 'exit'));
			for (const child of children) {
				child.kill('SIGTERM');
			}

			const timer = new AbortController();
			await Promise.race([
				Promise.all(ends),
				wait(stopTimeoutMs, undefined, {signal: timer.signal}).catch(
					() => undefined,
				),
			]);
			timer.abort();
			kill();
			await Promise.all(ends);
		},
		kill,
	};
}
