import type {Member} from '../protocol/member.js';

const stateRank: Readonly<Record<Member['state'], number>> = {
	alive: 0,
	suspect: 1,
	dead: 2,
	left: 3,
};

/**
 * Merges two records of the same member, keeping the newer one.
 *
 * A higher incarnation wins, then a higher sequence, then the graver state, so
 * that the result does not depend on the order of messages.
 *
 * @param current - the record known so far, if any
 * @param received - the record received
 * @returns the record to keep
 * @example
 * mergeMember(undefined, member) === member; // true
 */
export function mergeMember(
	current: Member | undefined,
	received: Member,
): Member {
	if (!current) {
		return received;
	}

	if (received.incarnation !== current.incarnation) {
		return received.incarnation > current.incarnation ? received : current;
	}

	if (received.sequence !== current.sequence) {
		return received.sequence > current.sequence ? received : current;
	}

	return stateRank[received.state] > stateRank[current.state]
		? received
		: current;
}
