import type {RequestCaseOptions} from './run-request-case.js';
import {deadlineMs, type FakeRequest, type Simulation} from './simulation.js';

const deadlineSlackMs = 5;

/** Faults that lose messages but neither a process nor the client's interest. */
const recoverable = new Set([
	'requests-blackholed',
	'responses-blackholed',
	'connection-broken',
	'answer-late',
	'gate-frozen',
	'upstream-frozen',
	'duplicate',
	'late-duplicate',
	'gate-leaves',
	'cold-start',
]);

function countRuns(world: Simulation, requestId: string): number {
	return world.hosts
		.flatMap(({starts}) => starts)
		.filter((start) => start.requestId === requestId).length;
}

function judgeRequest(
	world: Simulation,
	request: FakeRequest,
): readonly string[] {
	const {id, ends, startedAt} = request;
	const runs = countRuns(world, id);
	const end = ends[0];
	const found: string[] = [];
	if (!world.repeatable && runs > 1) {
		found.push(`${id} ran ${runs} times`);
	}

	if (end?.outcome === 'not-run' && runs > 0) {
		found.push(`${id} not run but ran`);
	}

	if (ends.length > 1 || (ends.length === 0 && world.isCallerAlive)) {
		found.push(`${id} has ${ends.length} ends`);
	}

	if (end && end.at > startedAt + deadlineMs + deadlineSlackMs) {
		found.push(`${id} ended late`);
	}

	if (end?.outcome === 'answered' && end.body !== id) {
		found.push(`${id} got the answer of ${end.body}`);
	}

	return found;
}

function judgeLeaving(world: Simulation): readonly string[] {
	const graceMs = 1;
	return world.hosts.flatMap((host) =>
		host.starts
			.filter(({sentAt}) => sentAt > host.leavingSince + graceMs)
			.map(({requestId}) => `${requestId} started after leaving`),
	);
}

/** One recoverable fault costs no request its answer. */
function judgeRecovery(
	world: Simulation,
	{faults}: RequestCaseOptions,
): readonly string[] {
	// Before the steps `ask` and `retry` there is a fault that leads to them.
	const isSingle =
		faults.length <= 1 &&
		faults.every(({step}) => step !== 'ask' && step !== 'retry');
	if (!isSingle) {
		return [];
	}

	const mustAnswer = faults.every(({fault}) => recoverable.has(fault));
	const mustKnow = faults.every(({fault}) => fault.startsWith('cut-'));
	return world.requests
		.filter(
			({ends}) =>
				(mustAnswer && ends[0]?.outcome !== 'answered') ||
				(mustKnow && ends[0]?.outcome === 'unknown'),
		)
		.map(({id, ends}) => `${id} ended ${ends[0]?.outcome}`);
}

/**
 * Finds what broke an invariant in a case that is over.
 *
 * @param world - the case's world
 * @param options - the case
 * @returns one line for each violation
 */
export function findViolations(
	world: Simulation,
	options: RequestCaseOptions,
): readonly string[] {
	return [
		...world.requests.flatMap((request) => judgeRequest(world, request)),
		...judgeLeaving(world),
		...judgeRecovery(world, options),
	];
}
