import type {IncomingMessage} from 'node:http';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {outdatedLagMs} from '../../protocol/constants.js';

/** Options of `hasSenderLeft`. */
export type ClientDisconnectOptions = {
	/** Whether the age of the request is known besides the lag; so when absent. */
	readonly isAgeKnown?: boolean;
};

/**
 * Tells whether the sender of a request has gone before the request was read.
 *
 * Answers the load of a node that runs late: a request and the notice that its
 * sender has gone lie in one socket, and the request is read first. A late node
 * therefore waits for two turns of its event loop, one to read the notice and
 * one to handle it.
 *
 * A request whose age nobody knows may have lain elsewhere, also when the node
 * is on time.
 *
 * @param request - the request
 * @param lagMs - how late the event loop runs, ms; without lag there is no wait
 * @param options - see `SenderOptions`
 * @returns true when the request need not be handled
 */
export async function hasClientDisconnected(
	request: IncomingMessage,
	lagMs: number,
	{isAgeKnown = true}: ClientDisconnectOptions = {},
): Promise<boolean> {
	if (isAgeKnown && lagMs <= outdatedLagMs) {
		return false;
	}

	await waitForTurn();
	await waitForTurn();
	// Node destroys a request also when its body has been read to the end.
	return request.socket.destroyed;
}
