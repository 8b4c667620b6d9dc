/**
 * Keeps the precedence of nested calls at an upstream from starving new work.
 */
import {isNewWorkStarved} from '../../coordination/shedding/is-new-work-starved.js';
import {
	stepServedShares,
	type ServedMessage,
} from '../../coordination/shedding/step-served-shares.js';
import type {Attempt} from '../../protocol/attempt.js';
import {isNestedAttempt} from './is-nested-attempt.js';
import type {LocalUpstream} from './local-upstream.js';

/**
 * Returns an attempt as it is decided on: without precedence while new work is
 * starved.
 *
 * @param upstream - the upstream
 * @param attempt - the attempt as received
 * @returns the same attempt, or a copy without precedence
 */
export function selectPrecedence(
	{servedShares}: LocalUpstream,
	attempt: Attempt,
): Attempt {
	return servedShares &&
		isNestedAttempt(attempt) &&
		isNewWorkStarved(servedShares)
		? {...attempt, isDemoted: true}
		: attempt;
}

/**
 * Records that an attempt has arrived or taken a slot, if nested calls come to the
 * upstream.
 *
 * @param upstream - the upstream
 * @param attempt - the attempt as received
 * @param kind - what happened
 * @param now - monotonic ms
 */
export function recordPrecedence(
	upstream: LocalUpstream,
	attempt: Attempt,
	kind: ServedMessage['kind'],
	now: number,
): void {
	const isNested = isNestedAttempt(attempt);
	if (isNested || upstream.servedShares) {
		upstream.servedShares = stepServedShares(
			upstream.servedShares,
			{kind, isNested},
			now,
		);
	}
}
