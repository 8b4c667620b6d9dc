import {readdir, readFile} from 'node:fs/promises';
import {bytesPerKibibyte} from '../../src/protocol/constants.js';

/** Processor time, memory and system calls of a process. */
export type ProcessUsage = {
	/** Processor time of all threads since its start, ms. */
	readonly cpuMs: number;
	readonly rssBytes: number;
	/** System calls that read or write a file or socket. */
	readonly reads: number;
	readonly writes: number;
	/** How often its threads have waited. */
	readonly waits: number;
};

const nsPerMs = 1e6;

function readField(text: string, name: string): number {
	const value = new RegExp(String.raw`^${name}:\s+(\d+)`, 'mv').exec(text)?.[1];
	return Number(value ?? 0);
}

/** Reads the processor time in ns and the waits of one thread. */
async function readThread(folder: string) {
	const [times, status] = await Promise.all([
		readFile(`${folder}/schedstat`, 'utf8'),
		readFile(`${folder}/status`, 'utf8'),
	]);
	return {
		cpuNs: Number(times.split(' ', 1)[0]),
		waits: readField(status, 'voluntary_ctxt_switches'),
	};
}

/**
 * Reads what a process has used from /proc.
 *
 * @param pid - the process
 * @returns its usage
 * @throws when the process does not exist
 * @example
 * (await readProcessUsage(process.pid)).rssBytes;
 */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
	const names = await readdir(`/proc/${pid}/task`);
	const [threads, status, io] = await Promise.all([
		Promise.all(
			names.map(async (name) => readThread(`/proc/${pid}/task/${name}`)),
		),
		readFile(`/proc/${pid}/status`, 'utf8'),
		readFile(`/proc/${pid}/io`, 'utf8'),
	]);
	let cpuNs = 0;
	let waits = 0;
	for (const thread of threads) {
		cpuNs += thread.cpuNs;
		waits += thread.waits;
	}

	return {
		cpuMs: cpuNs / nsPerMs,
		rssBytes: readField(status, 'VmRSS') * bytesPerKibibyte,
		reads: readField(io, 'syscr'),
		writes: readField(io, 'syscw'),
		waits,
	};
}
