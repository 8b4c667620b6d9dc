import {cpus, loadavg, totalmem} from 'node:os';
import process from 'node:process';

/** Where, when and how a measurement was made. */
export type RunContext = {
	readonly date: string;
	readonly cores: number;
	readonly memoryBytes: number;
	readonly nodeVersion: string;
	/** Load averages over 1, 5 and 15 minutes at the time of reading. */
	readonly loadAverage: readonly number[];
	readonly command: string;
	readonly seed: number;
};

/**
 * Reads the context of a measurement.
 *
 * @param command - the command that made it
 * @param seed - its seed
 * @returns the context
 * @example
 * readRunContext('npm run bench -- config', 1).cores;
 */
export function readRunContext(command: string, seed: number): RunContext {
	return {
		date: new Date().toISOString(),
		cores: cpus().length,
		memoryBytes: totalmem(),
		nodeVersion: process.version,
		loadAverage: loadavg(),
		command,
		seed,
	};
}
