import {setImmediate as waitForImmediate} from 'node:timers/promises';

/**
 * Waits for turns of the event loop, in each of which all sockets are read.
 *
 * @param count - number of turns
 */
export async function waitForTurns(count: number): Promise<void> {
	for (let turn = 0; turn < count; turn++) {
		await waitForImmediate();
	}
}
