import type {Member} from '../protocol/member.js';

const rankByState: Readonly<Record<Member['state'], number>> = {
	alive: 0,
	suspect: 1,
	dead: 2,
	left: 3,
};

/**
 * Merges two records of the same member.
 *
 * A higher incarnation wins. Within one incarnation the content of the higher
 * sequence and the graver state are kept, so only the member itself can end a
 * suspicion, by a new incarnation, and a late record revives nobody. The
 * result does not depend on the order or number of messages.
 *
 * @param current - the record known so far, if any
 * @param received - the record received
 * @returns the record to keep; `current` itself when nothing changes
 * @example
 * mergeMember(undefined, member) === member; // true
 */
export function mergeMember(
	current: Member | undefined,
	received: Member,
): Member {
	if (!current || received.incarnation > current.incarnation) {
		return received;
	}

	if (received.incarnation < current.incarnation) {
		return current;
	}

	const content = received.sequence > current.sequence ? received : current;
	const state =
		rankByState[received.state] > rankByState[current.state]
			? received.state
			: current.state;
	return content.state === state ? content : {...content, state};
}
