import type {GateLoad, UpstreamNotice} from '../protocol/attempt.js';

/** Last notice about the upstream on a host, as cached by a caller's node. */
export type CachedNotice = {
	readonly notice: UpstreamNotice;
	/** When its gate last sent it, monotonic ms. */
	readonly receivedAt: number;
};

/**
 * Advances what a caller's node remembers of an upstream by what its gate tells
 * with the end of an attempt.
 *
 * Answers a gate that starts again beside an upstream that goes on: the callers'
 * nodes remember for it. An upstream that leaves doesn't come back, so that a
 * gate which knows nothing of that has forgotten it.
 *
 * @param cached - what is remembered so far
 * @param load - what the gate tells, undefined when it tells nothing
 * @param now - monotonic ms
 * @returns what is to be remembered
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
