/** How the first request on a connection came to be read. */
export type AcceptedConnection = {
	/** Longest wait of the connection until the node started to read from it, ms. */
	readonly acceptWaitMs: number;
	/** Time since then, ms. */
	readonly readableMs: number;
};

/** Time after which a node without event loop lag has read from each of its connections, ms. */
const readIntervalMs = 50;

/**
 * Computes how long a request may have waited in a socket before it was read.
 *
 * Load pattern: clients reconnect to a node whose event loop lags. Their requests
 * wait for the connection to be accepted, and then for the event loop to read it:
 * two waits, one after the other.
 *
 * @param maxWaitMs - longest wait of data on connections that the node reads from, ms
 * @param accepted - the connection; undefined unless the request is its first
 * @returns the longest possible wait, ms
 * @example
 * computeSocketWait(80, {acceptWaitMs: 300, readableMs: 70}); // 370
 */
export function computeSocketWait(
	maxWaitMs: number,
	accepted?: AcceptedConnection,
): number {
	if (!accepted || accepted.readableMs > maxWaitMs + readIntervalMs) {
		return maxWaitMs;
	}

	return accepted.acceptWaitMs + accepted.readableMs;
}
