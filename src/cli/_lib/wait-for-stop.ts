import type {EventEmitter} from 'node:events';
import process from 'node:process';

/**
 * Waits for the first SIGTERM or SIGINT; further ones change nothing, so that a
 * node that is told to stop again still finishes its requests.
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
