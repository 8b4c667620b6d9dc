import {productAdmission} from './product-decisions.js';
import type {NodeAdmission, NodeInput} from './shortage-decisions.js';

/** Options of `createPressureAdmission`. */
export type PressureOptions = {
	/** Event loop lag that the node keeps to, ms. */
	readonly targetLagMs: number;
	/** Whether the lag of other nodes counts like the own. */
	readonly hasHostLags: boolean;
	/** Whether clients that come back are refused after new ones of their class, and told not to when most are refused. */
	readonly hasFinalRefusals: boolean;
};

const lowestPriority = 2;
/** Time in which the share of refused requests of a class changes from none to all at twice the target, ms. */
const stepMs = 500;
const maxError = 2;
/** Share of refused requests from which a client is not told to come back. */
const finalShare = 0.3;

/**
 * Creates an admission that refuses a share of each class of clients' requests,
 * from the lowest priority on, so that the event loop lag stays at a target.
 * Calls of running requests are admitted.
 *
 * @param options - see `PressureOptions`
 * @returns the admission of one node
 */
export function createPressureAdmission({
	targetLagMs,
	hasHostLags,
	hasFinalRefusals,
}: PressureOptions): NodeAdmission {
	/** Number of classes that are refused, from the lowest on. */
	let level = 0;
	let steppedAt = 0;

	function step({now, lagMs, maxHostLagMs}: NodeInput): void {
		const seenMs = hasHostLags ? Math.max(lagMs, maxHostLagMs) : lagMs;
		const error = Math.min(maxError, seenMs / targetLagMs - 1);
		const change = (error * Math.min(stepMs, now - steppedAt)) / stepMs;
		level = Math.min(lowestPriority + 1, Math.max(0, level + change));
		steppedAt = now;
	}

	function readRefusedShare({priority}: NodeInput): number {
		return Math.min(1, Math.max(0, level - (lowestPriority - priority)));
	}

	return {
		decideCaller(input) {
			step(input);
			if (input.isCall) {
				return true;
			}

			const share = readRefusedShare(input);
			const isBack = hasFinalRefusals && input.ageMs > 0;
			return isBack ? share < 1 : input.random >= share;
		},
		decideGate: ({lagMs, remainingMs}) => lagMs < remainingMs,
		computeRetryAfterMs(input) {
			const isFinal = hasFinalRefusals && readRefusedShare(input) > finalShare;
			return isFinal
				? input.remainingMs
				: productAdmission.computeRetryAfterMs(input);
		},
	};
}
