import type {IncomingMessage} from 'node:http';
import {lagThresholdMs} from '../../protocol/constants.js';
import {waitForTurns} from './wait-for-turns.js';

/** Event loop turns: one to read the end of a connection and one to handle it. */
const turnsToReadClose = 2;

/** Options of `hasClientDisconnected`. */
export type ClientDisconnectOptions = {
	/** Whether the age of the request is known apart from the lag; `true` when absent. */
	readonly isAgeKnown?: boolean;
};

/**
 * Tells whether the client of a request closed its connection before the
 * request was read.
 *
 * When the event loop lags, a request and the end of its connection can both be
 * waiting in the socket, and the request is read first. The function therefore
 * waits for two iterations of the event loop, one to read the end of the
 * connection and one to handle it.
 *
 * A request of unknown age may have been delayed elsewhere, so the function
 * waits for it even without lag.
 *
 * @param request - the request
 * @param lagMs - event loop lag, ms; up to `lagThresholdMs` there is no wait if
 * the age of the request is known
 * @param options - see `ClientDisconnectOptions`
 * @returns true if the request need not be handled
 */
export async function hasClientDisconnected(
	request: IncomingMessage,
	lagMs: number,
	{isAgeKnown = true}: ClientDisconnectOptions = {},
): Promise<boolean> {
	if (isAgeKnown && lagMs <= lagThresholdMs) {
		return false;
	}

	await waitForTurns(turnsToReadClose);
	// `request.destroyed` is no criterion: Node also destroys a request once its
	// body has been read to the end.
	return request.socket.destroyed;
}
