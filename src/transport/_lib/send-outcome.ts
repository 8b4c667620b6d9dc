import type {ServerResponse} from 'node:http';
import type {Edge} from '../../protocol/edge.js';
import {
	outcomeHeader,
	reasonHeader,
	type OutcomeReason,
} from '../../protocol/request.js';

/** The outcome of a request without an upstream response. */
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
	'unknown-key': 401,
	quota: 429,
};

/**
 * Responds to a client with the outcome of a request that no upstream answered.
 *
 * @param response - the response to send
 * @param unanswered - the outcome
 * @param edge - format of the headers towards the client
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
	// Both are plain words, so that the text needs no serialization.
	const text = `{"outcome":"${outcome}","reason":"${reason}"}\n`;
	const headers = [
		'content-type',
		'application/json',
		'content-length',
		String(text.length),
		outcomeHeader,
		outcome,
		reasonHeader,
		reason,
	];
	if (status === statusByOutcome['not-run'] || reason === 'quota') {
		headers.push('retry-after', edge.formatRetryAfter(retryAfterSeconds));
	}

	if (reason === 'unknown-key') {
		// A response with status 401 must name the scheme (RFC 9110, section 15.5.2).
		headers.push('www-authenticate', 'Bearer');
	}

	if (reason === 'body-too-large') {
		response.shouldKeepAlive = false;
	}

	response.writeHead(status, headers);
	response.end(text, 'latin1');
}
