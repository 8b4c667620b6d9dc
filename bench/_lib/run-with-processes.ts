import {rmSync} from 'node:fs';
import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	createBenchProcesses,
	type BenchProcesses,
} from './create-bench-processes.js';

const signals = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/** Time between two looks whether the parent process has ended, ms. */
const parentIntervalMs = 500;

/** Rejects when the benchmark is told to end, or its parent process has ended: `npm` passes no signal on. */
function watchInterrupts(): {
	readonly interrupted: Promise<never>;
	readonly stop: () => void;
} {
	const controller = new AbortController();
	const {signal: stopped} = controller;
	const {ppid} = process;
	const interrupted = new Promise<never>((_resolve, reject) => {
		for (const signal of signals) {
			const interrupt = (): void => {
				reject(new Error(`interrupted by ${signal}`));
			};

			process.on(signal, interrupt);
			stopped.addEventListener('abort', () => {
				process.off(signal, interrupt);
			});
		}

		const timer = setInterval(() => {
			if (process.ppid !== ppid) {
				reject(new Error('the parent process has ended'));
			}
		}, parentIntervalMs);
		stopped.addEventListener('abort', () => {
			clearInterval(timer);
		});
	});
	return {
		interrupted,
		stop() {
			controller.abort();
		},
	};
}

/**
 * Runs a benchmark with processes of its own, which end with it: also after a
 * failure or a signal, and when its parent process ends.
 *
 * @param run - the benchmark; gets its processes and a folder for its files
 * @returns once all processes have ended
 * @throws when the benchmark fails, a process ends early or there is a signal
 * @example
 * await runWithProcesses(async (processes, folder) => {});
 */
export async function runWithProcesses(
	run: (processes: BenchProcesses, folder: string) => Promise<void>,
): Promise<void> {
	const folder = await mkdtemp(path.join(tmpdir(), 'boragehitch-bench-'));
	const processes = createBenchProcesses(folder);
	const interrupts = watchInterrupts();
	process.once('exit', processes.kill);
	try {
		await Promise.race([
			run(processes, folder),
			processes.failed,
			interrupts.interrupted,
		]);
		await processes.stop();
	} finally {
		processes.kill();
		interrupts.stop();
		process.off('exit', processes.kill);
		rmSync(folder, {recursive: true, force: true});
	}
}
