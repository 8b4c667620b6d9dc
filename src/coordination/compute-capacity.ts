import {
	maxCapacity,
	referenceCapacity,
	referenceCores,
	referenceLinkMbps,
} from '../protocol/constants.js';

/** Resources of a host; an absent value counts as that of a usual host. */
export type HostLimits = {
	/** Processor time per second, in seconds of one core. */
	readonly cores?: number | undefined;
	readonly linkMbps?: number | undefined;
};

/**
 * Computes the capacity of a node for work on behalf of other nodes, in
 * thousandths of a usual host.
 *
 * The scarcer of processor and link limits it: a node that sends a document to
 * its children over a slow link is late however fast its processor is.
 *
 * @param limits - resources of the host
 * @returns the capacity, an integer from 1 to `maxCapacity`
 * @example
 * computeCapacity({cores: 0.27, linkMbps: 5}); // 5
 */
export function computeCapacity({
	cores = referenceCores,
	linkMbps = referenceLinkMbps,
}: HostLimits): number {
	const share = Math.min(cores / referenceCores, linkMbps / referenceLinkMbps);
	const capacity = Math.round(referenceCapacity * share);
	return Math.min(maxCapacity, Math.max(1, capacity));
}
