/** Wait from which the end of a client's connection may be too old, ms; half of the time for which a request may be sent on after it. */
const maxCloseWaitMs = 250;

/**
 * Tells whether a node has to read its sockets before it sends a request on.
 *
 * Load pattern: clients that leave before their deadline while a node stands
 * still, or while an attempt is held up between two nodes. The end of a client's
 * connection is then read after the request that it concerns.
 *
 * @param maxWaitMs - longest wait of what the node has not read yet, ms
 * @returns whether it has to read first
 * @example
 * isBehind(600); // true
 */
export function isBehind(maxWaitMs: number): boolean {
	return maxWaitMs > maxCloseWaitMs;
}
