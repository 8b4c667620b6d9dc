import type {ServerResponse} from 'node:http';
import type {Edge} from '../../protocol/edge.js';
import {
	outcomeHeader,
	reasonHeader,
	type OutcomeReason,
} from '../../protocol/request.js';
import {sendJson} from './send-json.js';

/** An outcome without an answer. */
export type UnansweredOutcome = {
	readonly outcome: 'not-run' | 'unknown';
	readonly reason: OutcomeReason;
	readonly retryAfterSeconds: number;
};

const statusByOutcome = {'not-run': 503, unknown: 504} as const;

const statusByReason: Partial<Record<OutcomeReason, number>> = {
	'bad-request': 400,
	'no-route': 404,
	upgrade: 501,
	'body-too-large': 413,
};

/**
 * Sends a client the outcome of a request that was not answered.
 *
 * @param response - where to send it
 * @param unanswered - the outcome
 * @param edge - headers that the client understands
 */
export function sendOutcome(
	response: ServerResponse,
	unanswered: UnansweredOutcome,
	edge: Edge,
): void {
	const {outcome, reason, retryAfterSeconds} = unanswered;
	const status =
		outcome === 'not-run'
			? (statusByReason[reason] ?? statusByOutcome[outcome])
			: statusByOutcome[outcome];
	const headers: Record<string, string> = {
		[outcomeHeader]: outcome,
		[reasonHeader]: reason,
	};
	if (status === statusByOutcome['not-run']) {
		headers['retry-after'] = edge.formatRetryAfter(retryAfterSeconds);
	}

	if (reason === 'body-too-large') {
		headers.connection = 'close';
	}

	sendJson(response, status, {outcome, reason}, headers);
}
