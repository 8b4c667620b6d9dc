import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {z} from 'zod';
import {runningChildren} from './_lib/running-children.js';
import {resolveProgram, type Program} from './resolve-program.js';

/** A running process of a fleet. */
export type FleetProcess = {
	readonly child: ChildProcess;
	/** The JSON object that the process printed when it was ready. */
	readonly ready: Readonly<Record<string, string>>;
	/** What the process has written to standard error. */
	readLog(): string;
	/** Asks the process to stop; kills it when it has not after a time. */
	stop(): Promise<number | undefined>;
	/** Sends SIGKILL and waits for the end. */
	kill(): Promise<void>;
};

const readySchema = z.record(z.string(), z.string());
const readyTimeoutMs = 15_000;
const stopTimeoutMs = 15_000;
const maxLogLength = 100_000;

/**
 * Starts a program and waits for the JSON line that says it is ready.
 *
 * @param program - which program
 * @param argv - its arguments
 * @param runtimeArguments - arguments of the runtime, such as `--cpu-prof`
 * @returns the running process
 * @throws when the process ends or stays silent before it is ready
 * @example
 * const platform = await startProcess('platform', []);
 */
export async function startProcess(
	program: Program,
	argv: readonly string[],
	runtimeArguments: readonly string[] = [],
): Promise<FleetProcess> {
	const child = spawn(
		process.execPath,
		[...runtimeArguments, resolveProgram(program), ...argv],
		{stdio: ['ignore', 'pipe', 'pipe']},
	);
	runningChildren.add(child);
	let log = '';
	child.stderr.on('data', (chunk) => {
		log = (log + String(chunk)).slice(-maxLogLength);
	});
	const exited = new Promise<number | undefined>((resolve) => {
		child.once('exit', (code) => {
			runningChildren.delete(child);
			resolve(code ?? undefined);
		});
	});
	const ready = await new Promise<Record<string, string>>((resolve, reject) => {
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
			reject(new Error(`${program} was not ready in time: ${log}`));
		}, readyTimeoutMs);
		createInterface({input: child.stdout}).once('line', (line) => {
			clearTimeout(timer);
			resolve(readySchema.parse(JSON.parse(line)));
		});
		void exited.then((code) => {
			clearTimeout(timer);
			reject(new Error(`${program} ended with ${code}: ${log}`));
		});
	});

	return {
		child,
		ready,
		readLog: () => log,
		async stop() {
			child.kill('SIGTERM');
			const timer = setTimeout(() => {
				child.kill('SIGKILL');
			}, stopTimeoutMs);
			const code = await exited;
			clearTimeout(timer);
			return code;
		},
		async kill() {
			child.kill('SIGKILL');
			await exited;
		},
	};
}
