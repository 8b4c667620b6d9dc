import {createMembersBenchFleet} from './create-members-bench-fleet.js';
import {measureUsage} from './measure-members-size.js';

/** What a bridge uses when quiet, with a number of data centres. */
export type BridgeSize = {
	readonly dataCentres: number;
	readonly bytesPerSecond: number;
	readonly messagesPerSecond: number;
};

const hostsPerDataCentre = 3;
const warmUpMs = 5000;
const measuredMs = 30_000;

/**
 * Measures what a bridge uses when quiet; each member of a data centre of
 * three is one.
 *
 * @param dataCentres - number of data centres
 * @param headerBytes - bytes of HTTP headers of a call and its answer
 * @param seed - seed of the scheduler
 * @returns the figures, sent and received
 * @example
 * measureMembersBridge(3, 600, 1).bytesPerSecond;
 */
export function measureMembersBridge(
	dataCentres: number,
	headerBytes: number,
	seed: number,
): BridgeSize {
	const bench = createMembersBenchFleet(
		dataCentres,
		hostsPerDataCentre,
		headerBytes,
		seed,
	);
	bench.scheduler.runUntil(warmUpMs);
	const usage = measureUsage(bench, bench.nodes, measuredMs);
	const {bytesPerSecond, messagesPerSecond} = usage;
	return {dataCentres, bytesPerSecond, messagesPerSecond};
}
