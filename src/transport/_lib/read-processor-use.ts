import {performance} from 'node:perf_hooks';
import process from 'node:process';

/** Processor time of the process since its start. */
export type ProcessorUse = {
	/** Time in the program itself, ms. */
	readonly userMs: number;
	/** Time in system calls, ms. */
	readonly systemMs: number;
	/** Time in which the event loop was not waiting, ms; it includes time without a processor. */
	readonly busyMs: number;
};

const microsecondsPerMs = 1000;

/**
 * Reads how much processor time the process has used. One system call.
 *
 * @returns times since the start of the process
 */
export function readProcessorUse(): ProcessorUse {
	const {user, system} = process.cpuUsage();
	return {
		userMs: user / microsecondsPerMs,
		systemMs: system / microsecondsPerMs,
		busyMs: performance.eventLoopUtilization().active,
	};
}
