import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {createStoreClient} from '../platform/create-store-client.js';
import {manifestSchema, type Manifest} from '../src/protocol/manifest.js';
import {createByteCounter} from '../src/transport/_lib/create-byte-counter.js';
import {createLogger} from '../src/transport/create-logger.js';

/** Prefix of the objects that hold one team's manifest each. */
export const naivePrefix = 'naive/';

/** Value of such an object. */
export const naiveObjectSchema = z.strictObject({
	/** Number of the change, over all teams. */
	change: z.int(),
	manifest: manifestSchema,
});

/** A node of the naive way, with a watch of its own. */
export type NaiveNode = {
	readBytes(): number;
	/** Size of the configuration that it last fetched, bytes. */
	readSize(): number;
	stop(): Promise<void>;
};

const watchWaitMs = 10_000;

/**
 * Starts a node that watches the platform by itself, and on each change
 * fetches the whole configuration and applies it whole.
 *
 * @param platformUrl - base URL of the platform
 * @param onConfiguration - called with the newest change and all manifests
 * @returns the running node
 * @example
 * startNaiveNode(url, (change) => console.log(change));
 */
export function startNaiveNode(
	platformUrl: string,
	onConfiguration: (change: number, manifests: readonly Manifest[]) => void,
): NaiveNode {
	const counter = createByteCounter();
	const platform = createStoreClient(new URL(platformUrl).host, {
		logger: createLogger('error', 'naive'),
		onSocket(socket) {
			counter.track('platform', socket);
		},
	});
	const stopping = new AbortController();
	let size = 0;
	let revision = 0;

	async function fetchAll(): Promise<void> {
		const outcome = await platform.listObjects(naivePrefix);
		if (outcome.kind !== 'items') {
			return;
		}

		revision = outcome.revision;
		const objects = outcome.items.map(({value}) =>
			naiveObjectSchema.parse(value),
		);
		size = Buffer.byteLength(JSON.stringify(objects));
		onConfiguration(
			Math.max(0, ...objects.map(({change}) => change)),
			objects.map(({manifest}) => manifest),
		);
	}

	async function run(): Promise<void> {
		await fetchAll();
		while (!stopping.signal.aborted) {
			const outcome = await platform.watchObjects(
				naivePrefix,
				revision,
				watchWaitMs,
			);
			if (outcome.kind !== 'items' || outcome.items.length > 0) {
				await fetchAll();
			}
		}
	}

	void run();
	return {
		readBytes: counter.readTotal,
		readSize: () => size,
		async stop() {
			stopping.abort();
			await platform.stop();
		},
	};
}
