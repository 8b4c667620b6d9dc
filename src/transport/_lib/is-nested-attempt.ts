import type {Attempt} from '../../protocol/attempt.js';

/**
 * Tells whether a running request waits for an attempt, as its caller's node says;
 * one of an earlier version only passes on the depth that the caller states.
 *
 * @param attempt - the attempt
 * @returns true when one does
 */
export function isNestedAttempt({
	depth,
	isNested = depth > 0,
}: Pick<Attempt, 'isNested' | 'depth'>): boolean {
	return isNested;
}
