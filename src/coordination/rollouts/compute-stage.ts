import {msPerSecond} from '../../protocol/constants.js';

/** A stage of a roll-out. */
export type RolloutStage = {
	/** Probability with which a request goes to the target. */
	readonly share: number;
	/** Whether all traffic has had its time at the target, so that the order may complete. */
	readonly isDue: boolean;
};

/**
 * Share until the ramp. Over three quarters of an order it exposes 0.03 of the
 * requests, which leaves the ramp the rest of the bound of 0.1.
 */
export const canaryShare = 0.04;

/** Part of the duration, and time, before the deadline at which the order is to be complete: for a store that answers late or a change of the leader. */
const marginRatio = 0.1;
const marginMs = msPerSecond;

/**
 * Steps of the ramp, the last one first, in the last part of the duration, since
 * a version may turn bad late. Each one lasts for a part of the duration, but long
 * enough for a report and a directive; together they expose less than 0.06 of the
 * requests of an order of 30 s.
 */
const rampSteps = [
	{share: 1, ratio: 0.035, minMs: 1200},
	{share: 0.5, ratio: 0.025, minMs: 700},
	{share: 0.2, ratio: 0.025, minMs: 700},
] as const;

/**
 * Computes the stage of a roll-out from its time alone.
 *
 * @param elapsedMs - time since the order was first seen, ms
 * @param durationMs - duration of the order, ms
 * @returns the stage
 * @example
 * computeStage(0, 60_000).share; // 0.04
 */
export function computeStage(
	elapsedMs: number,
	durationMs: number,
): RolloutStage {
	let startsAt = durationMs * (1 - marginRatio) - marginMs;
	const isDue = elapsedMs >= startsAt;
	for (const {share, ratio, minMs} of rampSteps) {
		startsAt -= Math.max(minMs, durationMs * ratio);
		if (elapsedMs >= startsAt) {
			return {share, isDue};
		}
	}

	return {share: canaryShare, isDue};
}
