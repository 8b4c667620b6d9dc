/** Event loop lag of a node and the priority of a request. */
export type EventLoopAdmissionInput = {
	/** Event loop lag of the node, ms. */
	readonly lagMs: number;
	/** Priority of the request's route; 0 is the highest. */
	readonly priority: number;
};

/** Lag from which requests of the lowest priority are refused, ms; each higher priority adds as much. */
const lagStepMs = 40;

/** Number of distinct priorities. */
const levels = 4;

/**
 * Decides whether a node admits a caller's request, based on event loop lag.
 *
 * Load pattern: a node whose CPU is saturated. Each admitted request delays all
 * others, and also the detection of disconnected clients, while refusing a
 * request costs less than half of forwarding it. The routes of highest priority
 * are refused last.
 *
 * @param input - see `EventLoopAdmissionInput`
 * @returns whether the request is admitted
 * @example
 * decideEventLoopAdmission({lagMs: 100, priority: 0}); // true
 */
export function decideEventLoopAdmission(
	input: EventLoopAdmissionInput,
): boolean {
	const {lagMs, priority} = input;
	return lagMs < lagStepMs * (levels - Math.min(levels - 1, priority));
}
