import type {MembersView} from '../protocol/member.js';
import {listMembers} from '../state/list-members.js';
import {computeBridges} from './compute-bridges.js';
import {isUninformed} from './_lib/members/seek.js';
import {computeCandidates} from './compute-candidates.js';
import type {MembersState} from './members-state.js';

function computeUnreachable(state: MembersState): ReadonlySet<string> {
	const live = [
		state.self,
		...listMembers(state.table, state.self.dataCentre),
	].filter((member) => member.state === 'alive');
	const [first, ...rest] = computeBridges(live);
	return new Set(
		(first?.unreachable ?? []).filter((dataCentre) =>
			rest.every(({unreachable}) => unreachable?.includes(dataCentre)),
		),
	);
}

/**
 * Computes the view of the members that the other tasks of a node use.
 *
 * A data centre is unreachable when every bridge of the local one reports it as
 * unreachable.
 *
 * @param state - the membership state of the node
 * @returns the view
 * @example
 * computeMembersView(state).candidates.get('kitchens/pricebook');
 */
export function computeMembersView(state: MembersState): MembersView {
	const members = [state.self, ...listMembers(state.table)];
	const unreachable = computeUnreachable(state);
	return {
		self: state.self,
		members,
		candidates: computeCandidates(members, unreachable),
		unreachable,
		isPartial: isUninformed(state),
	};
}
