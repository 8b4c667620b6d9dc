import process from 'node:process';
import {runningChildren} from './_lib/running-children.js';
import {listProcesses} from './list-processes.js';
import {pollUntil} from './poll-until.js';

/** Options of `stopProcesses`. */
export type StopOptions = {
	/** Time for a graceful stop before SIGKILL, ms; 10,000 when absent. */
	readonly graceMs?: number;
};

const killWaitMs = 2000;

function isRunning(pid: number): boolean {
	try {
		process.kill(pid, 0);
		return true;
	} catch {
		return false;
	}
}

/**
 * Stops every process that `startProcess` has started and that still runs,
 * ready or not.
 *
 * @param options - see `StopOptions`
 * @returns numbers of processes that still run; none when all is well
 * @example
 * (await stopProcesses()).length; // 0
 */
export async function stopProcesses(
	options: StopOptions = {},
): Promise<readonly number[]> {
	const {graceMs = 10_000} = options;
	const children = [...runningChildren];
	const pids = listProcesses();
	const hasEnded = async () => !pids.some((pid) => isRunning(pid));
	for (const child of children) {
		child.kill('SIGTERM');
	}

	if (!(await pollUntil(hasEnded, graceMs))) {
		for (const child of children) {
			child.kill('SIGKILL');
		}

		await pollUntil(hasEnded, killWaitMs);
	}

	return pids.filter((pid) => isRunning(pid));
}
