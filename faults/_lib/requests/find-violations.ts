import type {RequestCaseOptions} from './run-request-case.js';
import {deadlineMs, type FakeRequest, type Simulation} from './simulation.js';

const deadlineSlackMs = 5;

/** Faults that lose or delay messages but end no process and no request. */
const recoverableFaults = new Set([
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

function countRuns(simulation: Simulation, requestId: string): number {
	return simulation.hosts
		.flatMap(({starts}) => starts)
		.filter((start) => start.requestId === requestId).length;
}

function checkRequest(
	simulation: Simulation,
	request: FakeRequest,
): readonly string[] {
	const {id, ends, startedAt} = request;
	const runs = countRuns(simulation, id);
	const end = ends[0];
	const found: string[] = [];
	if (!simulation.repeatable && runs > 1) {
		found.push(`${id} ran ${runs} times`);
	}

	if (end?.outcome === 'not-run' && runs > 0) {
		found.push(`${id} ended not-run but ran`);
	}

	if (ends.length > 1 || (ends.length === 0 && simulation.isCallerAlive)) {
		found.push(`${id} has ${ends.length} ends`);
	}

	if (end && end.at > startedAt + deadlineMs + deadlineSlackMs) {
		found.push(`${id} ended late`);
	}

	if (end?.outcome === 'answered' && end.body !== id) {
		found.push(`${id} got the response of ${end.body}`);
	}

	return found;
}

function checkLeaving(simulation: Simulation): readonly string[] {
	const graceMs = 1;
	return simulation.hosts.flatMap((host) =>
		host.starts
			.filter(({sentAt}) => sentAt > host.leavingSince + graceMs)
			.map(({requestId}) => `${requestId} started after leaving`),
	);
}

/**
 * Checks that after a single recoverable fault every request is answered, and
 * that after a single network cut no outcome is unknown.
 */
function checkRecovery(
	simulation: Simulation,
	{faults}: RequestCaseOptions,
): readonly string[] {
	// The steps `ask` and `retry` occur only after another fault.
	const isSingle =
		faults.length <= 1 &&
		faults.every(({step}) => step !== 'ask' && step !== 'retry');
	if (!isSingle) {
		return [];
	}

	const mustBeAnswered = faults.every(({fault}) =>
		recoverableFaults.has(fault),
	);
	const mustNotBeUnknown = faults.every(({fault}) => fault.startsWith('cut-'));
	return simulation.requests
		.filter(
			({ends}) =>
				(mustBeAnswered && ends[0]?.outcome !== 'answered') ||
				(mustNotBeUnknown && ends[0]?.outcome === 'unknown'),
		)
		.map(({id, ends}) => `${id} ended ${ends[0]?.outcome}`);
}

/**
 * Finds the violations of invariants in a finished case.
 *
 * @param simulation - the simulation of the case
 * @param options - options of the case
 * @returns one line for each violation
 */
export function findViolations(
	simulation: Simulation,
	options: RequestCaseOptions,
): readonly string[] {
	return [
		...simulation.requests.flatMap((request) =>
			checkRequest(simulation, request),
		),
		...checkLeaving(simulation),
		...checkRecovery(simulation, options),
	];
}
