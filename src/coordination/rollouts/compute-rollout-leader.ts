import type {Member, MembersView} from '../../protocol/member.js';
import {computeRoots} from '../compute-roots.js';

/**
 * Computes the node that leads roll-outs: the first live root of the first data
 * centre, by name, that can be reached.
 *
 * @param view - view of the members
 * @returns the leader, as this node believes
 * @example
 * computeRolloutLeader(view).name;
 */
export function computeRolloutLeader({
	self,
	members,
	unreachable = new Set(),
}: Pick<MembersView, 'self' | 'members' | 'unreachable'>): Member {
	const dataCentres = [
		...new Set(members.map(({dataCentre}) => dataCentre)),
	].toSorted((a, b) => (a < b ? -1 : 1));
	for (const dataCentre of dataCentres) {
		const [first] = unreachable.has(dataCentre)
			? []
			: computeRoots(members, dataCentre, self.name);
		if (first) {
			return first;
		}
	}

	return self;
}
