import type {Attempt} from '../../protocol/attempt.js';

/**
 * Tells whether a running request waits for an attempt: its caller's node has
 * found that out, or the caller states a depth.
 *
 * @param attempt - the attempt
 * @returns true when one does
 */
export function isNestedAttempt({
	isNested = false,
	depth,
}: Pick<Attempt, 'isNested' | 'depth'>): boolean {
	return isNested || depth > 0;
}
