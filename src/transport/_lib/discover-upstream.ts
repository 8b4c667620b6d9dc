import {waitMs} from './wait-ms.js';

/** Options of `seekUpstream`. */
export type DiscoverUpstreamOptions<Found> = {
	/** Whether there is nothing to seek any more: an upstream has spoken for itself. */
	readonly shouldStop: () => boolean;
	/** Asks for the upstream; undefined when it cannot be asked yet or is not well. */
	readonly probe: () => Promise<Found | undefined>;
	readonly onFound: (found: Found) => void;
	/** Waits for a time, ms. */
	readonly wait?: (durationMs: number) => Promise<void>;
};

/** Time between two probes, ms; a node reads its first configuration within about this time. */
const probeIntervalMs = 150;

/** Most probes; by then an upstream has announced itself. */
const maxProbes = 20;

/**
 * Asks for the upstream on the own host until it is found.
 *
 * Answers the load of a node that has started again beside an upstream that
 * goes on: until the next announcement, for over a second, nobody would know of
 * the upstream, and every request for its service would be refused.
 *
 * @param options - see `SeekUpstreamOptions`
 * @returns once it is found, has announced itself or is given up
 */
export async function discoverUpstream<Found>({
	shouldStop,
	probe,
	onFound,
	wait = waitMs,
}: DiscoverUpstreamOptions<Found>): Promise<void> {
	for (let probes = 0; probes < maxProbes && !shouldStop(); probes++) {
		const found = await probe();
		if (shouldStop()) {
			return;
		}

		if (found) {
			onFound(found);
			return;
		}

		await wait(probeIntervalMs);
	}
}
