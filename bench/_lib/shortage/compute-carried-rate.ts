import type {RequestClass, StepCosts} from './shortage-parameters.js';

const msPerSecond = 1000;

/** Counts a request and the calls below it. */
function countRequests(
	{calls}: RequestClass,
	classes: readonly RequestClass[],
): number {
	const called = classes.find(({name}) => name === calls?.name);
	return calls && called
		? 1 + calls.share * calls.count * countRequests(called, classes)
		: 1;
}

/**
 * Computes how many clients' requests the processors of all nodes carry in a
 * second, if all are served at other hosts than those at which they arrive.
 *
 * @param classes - classes of requests
 * @param costs - processor time of each step
 * @param cores - cores of all nodes together
 * @returns requests per second
 */
export function computeCarriedRate(
	classes: readonly RequestClass[],
	costs: StepCosts,
	cores: number,
): number {
	const requests = classes.reduce(
		(sum, requestClass) =>
			sum + requestClass.share * countRequests(requestClass, classes),
		0,
	);
	const {readMs, startMs, sendMs, answerMs} = costs;
	const {gateReadMs, gateSendMs, gateAnswerMs} = costs;
	const callerMs = readMs + startMs + sendMs + answerMs;
	const gateMs = gateReadMs + gateSendMs + gateAnswerMs;
	return (cores * msPerSecond) / (requests * (callerMs + gateMs));
}
