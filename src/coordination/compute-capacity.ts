import {
	maxCapacity,
	usualCapacity,
	usualCores,
	usualLinkMbps,
} from '../protocol/constants.js';

/** What a host has for its node; what is absent counts as usual. */
export type HostLimits = {
	/** Processor time a second, in seconds of one core. */
	readonly cores?: number | undefined;
	readonly linkMbps?: number | undefined;
};

/**
 * Computes what a node can do for others, in thousandths of a usual host.
 *
 * The scarcer of processor and link counts: a node that sends a document to
 * its children over a thin link is late however fast it computes.
 *
 * @param limits - what the host has
 * @returns an integer of at least 1
 * @example
 * computeCapacity({cores: 0.27, linkMbps: 5}); // 5
 */
export function computeCapacity({
	cores = usualCores,
	linkMbps = usualLinkMbps,
}: HostLimits): number {
	const share = Math.min(cores / usualCores, linkMbps / usualLinkMbps);
	const capacity = Math.round(usualCapacity * share);
	return Math.min(maxCapacity, Math.max(1, capacity));
}
