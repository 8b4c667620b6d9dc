import type {GateLoad, UpstreamNotice} from '../protocol/attempt.js';

/** Last notice about the upstream on a host, as cached by a caller's node. */
export type CachedNotice = {
	readonly notice: UpstreamNotice;
	/** When its gate last sent it, monotonic ms. */
	readonly receivedAt: number;
};

/**
 * Updates the notice about an upstream that a caller's node has cached with the
 * load report that its gate sends at the end of an attempt.
 *
 * Covers a gate that restarts while its upstream keeps running: the callers'
 * nodes keep the notice for it. An upstream that is leaving does not return, so
 * a report without that notice means that the gate has lost it.
 *
 * @param cached - the cached notice, undefined when there is none
 * @param load - the load report of the gate, undefined when there is none
 * @param now - monotonic ms
 * @returns the notice to cache, undefined when there is none
 * @example
 * stepUpstreamNotice(undefined, {inFlight: 0, queued: 0, slots: 6}, 0); // undefined
 */
export function stepUpstreamNotice(
	cached: CachedNotice | undefined,
	load: GateLoad | undefined,
	now: number,
): CachedNotice | undefined {
	if (!load) {
		return cached;
	}

	if (load.notice) {
		return {notice: load.notice, receivedAt: now};
	}

	return cached?.notice.isLeaving ? cached : undefined;
}
