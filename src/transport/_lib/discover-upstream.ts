import {waitMs} from './wait-ms.js';

/** Options of `discoverUpstream`. */
export type DiscoverUpstreamOptions<Found> = {
	/** Whether to stop, because an upstream has announced itself. */
	readonly shouldStop: () => boolean;
	/** Probes for the upstream; resolves to undefined if it cannot be probed yet or is not healthy. */
	readonly probe: () => Promise<Found | undefined>;
	readonly onFound: (found: Found) => void;
	/** Waits for `durationMs`. */
	readonly wait?: (durationMs: number) => Promise<void>;
};

/** Time between two probes, ms; a node needs about this long to read its first configuration. */
const probeIntervalMs = 150;

/** Maximum number of probes; by then, a running upstream has announced itself. */
const maxProbes = 20;

/**
 * Probes for the upstream on the local host until it is found.
 *
 * Load pattern: a node restarts while its upstream keeps running. Without
 * probes, the upstream would be unknown until its next announcement, for over a
 * second, and every request for its service would be refused.
 *
 * @param options - see `DiscoverUpstreamOptions`
 * @returns resolves when the upstream is found or has announced itself, or after
 * the last probe
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
