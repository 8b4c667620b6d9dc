import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {WebSocket} from 'undici';
import {z} from 'zod';
import {pollUntil} from '../../harness/poll-until.js';

/** Mean distance of two samples, bytes. */
const samplingBytes = 8192;
const connectTimeoutMs = 10_000;

/** Options by which objects count that the collector has freed, as the inspector names them. */
const collectedObjects = Object.fromEntries(
	['Major', 'Minor'].map((kind) => [
		`includeObjectsCollectedBy${kind}GC`,
		true,
	]),
);

const addressPattern = /^Debugger listening on (ws:\/\/\S+)$/mv;

const replySchema = z.object({
	id: z.number(),
	result: z
		.object({
			profile: z
				.object({samples: z.array(z.object({size: z.number()}))})
				.optional(),
		})
		.optional(),
});

/** Records what a process allocates. */
export type AllocationSampler = {
	start(): Promise<void>;
	/** Returns the bytes allocated since `start`, estimated from samples. */
	stop(): Promise<number>;
	close(): void;
};

/**
 * Connects to the inspector of a process, which opens it at SIGUSR1.
 *
 * @param child - a process with the option `--inspect-port`
 * @param readErrors - reads what it has written to standard error
 * @returns the sampler of its allocations
 * @throws when the inspector does not open
 * @example
 * const sampler = await startAllocationSampler(child, readErrors);
 */
export async function startAllocationSampler(
	child: ChildProcess,
	readErrors: () => Promise<string>,
): Promise<AllocationSampler> {
	let url: string | undefined;
	child.kill('SIGUSR1');
	const isOpen = await pollUntil(async () => {
		url = addressPattern.exec(await readErrors())?.[1];
		return url !== undefined;
	}, connectTimeoutMs);
	if (!isOpen || url === undefined) {
		throw new Error('the inspector of a process did not open');
	}

	const socket = new WebSocket(url);
	const replies = new Map<number, (sampledBytes: number) => void>();
	socket.addEventListener('message', ({data}) => {
		const reply = replySchema.safeParse(JSON.parse(String(data)));
		if (reply.success) {
			const {id, result} = reply.data;
			const samples = result?.profile?.samples ?? [];
			replies.get(id)?.(samples.reduce((sum, {size}) => sum + size, 0));
			replies.delete(id);
		}
	});
	await once(socket, 'open');
	let lastId = 0;

	async function call(method: string, options = {}): Promise<number> {
		lastId++;
		const id = lastId;
		return new Promise((resolve) => {
			replies.set(id, resolve);
			socket.send(JSON.stringify({id, method, params: options}));
		});
	}

	return {
		async start() {
			await call('HeapProfiler.startSampling', {
				samplingInterval: samplingBytes,
				...collectedObjects,
			});
		},
		stop: async () => call('HeapProfiler.stopSampling'),
		close() {
			socket.close();
		},
	};
}
