import type {RolloutDirective} from '../../protocol/rollout.js';

function isFinal({state}: RolloutDirective): boolean {
	return state !== 'active';
}

/**
 * Merges a directive with the one that is known: a final state of an order is
 * kept, and an earlier directive, as from a leader that was replaced, is ignored.
 *
 * @param known - the directive known for the service
 * @param next - the directive received
 * @returns the directive that applies
 * @example
 * mergeDirectives(undefined, next) === next; // true
 */
export function mergeDirectives(
	known: RolloutDirective | undefined,
	next: RolloutDirective,
): RolloutDirective {
	if (known?.order !== next.order) {
		return next;
	}

	if (isFinal(known)) {
		return known;
	}

	return isFinal(next) || next.sequence >= known.sequence ? next : known;
}
