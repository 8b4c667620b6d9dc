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
 * The higher incarnation takes precedence. Within one incarnation the content of
 * the higher sequence and the state of the higher rank are kept, so that only the
 * member itself can refute a suspicion, by a new incarnation, and a delayed record
 * cannot revive a dead member. The result does not depend on the order or number
 * of the messages.
 *
 * @param current - the known record, if any
 * @param received - the record received
 * @returns the merged record; `current` itself when nothing changes
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
