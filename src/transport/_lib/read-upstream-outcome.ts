import {Readable} from 'node:stream';
import type {Attempt, AttemptResult, GateLoad} from '../../protocol/attempt.js';
import {retryAfterSeconds} from '../../protocol/constants.js';
import type {ResponseClass, Edge} from '../../protocol/edge.js';
import type {OutcomeReason} from '../../protocol/request.js';
import type {GateStamp} from '../../protocol/stamp.js';
import type {EarlyEndReason} from './local-upstream.js';
import type {SendOutcome} from './send-request.js';

/** What a gate adds to an outcome at its upstream. */
export type OutcomeContext = {
	readonly edge: Edge;
	/** Why the gate ended the request early; undefined if it did not. */
	readonly earlyEndReason: EarlyEndReason | undefined;
	readonly load: GateLoad;
	readonly stamp: GateStamp;
};

type Refusal = {
	readonly kind: 'not-run' | 'unknown';
	readonly reason: OutcomeReason;
};

/** Results for responses that do not answer the attempt. */
const refusals: Readonly<Record<Exclude<ResponseClass, 'answered'>, Refusal>> =
	{
		shed: {kind: 'not-run', reason: 'shed'},
		'wrong-instance': {kind: 'not-run', reason: 'wrong-instance'},
		misplaced: {kind: 'unknown', reason: 'misplaced'},
	};

/**
 * Converts the transport outcome of a request to an upstream to the attempt's result.
 *
 * @param outcome - outcome of the request to the upstream
 * @param attempt - the attempt
 * @param context - see `OutcomeContext`
 * @returns the result; `not-run` only if nothing was sent, another upstream
 * has the address, or the upstream shed the request and its service declares
 * that shedding means not run
 */
export function readUpstreamOutcome(
	outcome: SendOutcome,
	attempt: Attempt,
	context: OutcomeContext,
): AttemptResult {
	const {edge, earlyEndReason, load, stamp} = context;
	function end(
		kind: 'not-run' | 'unknown',
		reason: OutcomeReason,
		retryAfter = retryAfterSeconds,
	): AttemptResult {
		return {kind, reason, retryAfterSeconds: retryAfter, load, stamp};
	}

	switch (outcome.kind) {
		case 'answered': {
			const {status, headers, body} = outcome;
			const verdict = edge.classifyResponse(outcome, attempt);
			if (verdict === 'answered') {
				return {kind: 'answered', status, headers, body, load, stamp};
			}

			if (body instanceof Readable) {
				body.destroy();
			}

			const seconds = Number(headers['retry-after']);
			const {kind, reason} = refusals[verdict];
			return end(kind, reason, seconds > 0 ? seconds : undefined);
		}

		case 'not-sent': {
			return end('not-run', earlyEndReason ?? 'not-sent');
		}

		case 'lost': {
			return end('unknown', 'connection-lost');
		}

		case 'truncated': {
			return end('unknown', 'truncated');
		}

		case 'aborted': {
			return end('unknown', earlyEndReason ?? 'cancelled');
		}
	}
}
