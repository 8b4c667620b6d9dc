import type {EventEmitter} from 'node:events';
import process from 'node:process';

/**
 * Waits for the first SIGTERM or SIGINT. Ignores further ones, so that a node
 * that is stopping completes its requests.
 *
 * @param source - emits the signals; the process when absent
 */
export async function waitForStop(
	source: EventEmitter = process,
): Promise<void> {
	await new Promise<void>((resolve) => {
		for (const signal of ['SIGTERM', 'SIGINT']) {
			source.on(signal, () => {
				resolve();
			});
		}
	});
}
