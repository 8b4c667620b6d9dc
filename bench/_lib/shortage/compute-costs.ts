import type {StepCosts} from './shortage-parameters.js';

/**
 * Scales the costs of steps.
 *
 * @param costs - the costs
 * @param factors - factor of all steps, and a further one for refusals by the caller's node
 * @returns the scaled costs
 */
export function computeCosts(
	costs: StepCosts,
	{all = 1, refusal = 1}: {readonly all?: number; readonly refusal?: number},
): StepCosts {
	return {
		acceptMs: costs.acceptMs * all,
		readMs: costs.readMs * all,
		refusedReadMs: costs.refusedReadMs * all * refusal,
		refuseMs: costs.refuseMs * all * refusal,
		startMs: costs.startMs * all,
		sendMs: costs.sendMs * all,
		answerMs: costs.answerMs * all,
		refusalMs: costs.refusalMs * all,
		gateReadMs: costs.gateReadMs * all,
		gateRefuseMs: costs.gateRefuseMs * all,
		gateSendMs: costs.gateSendMs * all,
		gateAnswerMs: costs.gateAnswerMs * all,
		timerMs: costs.timerMs * all,
	};
}
