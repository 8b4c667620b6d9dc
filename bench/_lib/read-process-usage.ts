import {readFile} from 'node:fs/promises';
import {bytesPerKibibyte} from '../../src/protocol/constants.js';

/** Processor time and memory of a process. */
export type ProcessUsage = {
	/** Processor time in user and system mode since its start, ms. */
	readonly cpuMs: number;
	readonly rssBytes: number;
};

const msPerTick = 10;

/**
 * Reads the processor time and resident memory of a process from /proc.
 *
 * @param pid - the process
 * @returns its usage; processor time is counted in steps of 10 ms
 * @throws when the process does not exist
 * @example
 * (await readProcessUsage(process.pid)).rssBytes;
 */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const resident = /^VmRSS:\s+(\d+) kB$/mv.exec(status)?.[1];
	return {
		cpuMs: (Number(fields[11]) + Number(fields[12])) * msPerTick,
		rssBytes: Number(resident ?? 0) * bytesPerKibibyte,
	};
}
