import type {Attempt} from '../../protocol/attempt.js';
import {isNestedAttempt} from './is-nested-attempt.js';

/**
 * Tells whether an attempt goes before new work: a nested call, unless the gate
 * has taken its precedence because new work is starved.
 *
 * @param attempt - the attempt
 * @returns true when it does
 */
export function hasPrecedence(
	attempt: Pick<Attempt, 'isNested' | 'depth' | 'isDemoted'>,
): boolean {
	return isNestedAttempt(attempt) && attempt.isDemoted !== true;
}
