import {usualCapacity} from '../../protocol/constants.js';
import type {Member} from '../../protocol/member.js';
import {computeWeight} from './compute-weight.js';
import {memoizeByMember} from './memoize-by-member.js';

const readWeight = memoizeByMember(({name}) => computeWeight(name, 'tree'));

/**
 * Orders the live members of a data centre by capacity, and those of the same
 * capacity by rendezvous weight.
 *
 * The place of two members depends on nothing but the two, so all nodes agree
 * and a member that comes or goes leaves the order of the others as it is.
 *
 * @param members - known members, in any order
 * @param dataCentre - the data centre
 * @param selfName - a node that counts as live whatever its record says
 * @returns its live members; the first ones are the roots
 */
export function orderMembers(
	members: readonly Member[],
	dataCentre: string,
	selfName = '',
): readonly Member[] {
	return members
		.filter(
			(member) =>
				member.dataCentre === dataCentre &&
				(member.state === 'alive' || member.name === selfName),
		)
		.map((member) => ({
			member,
			capacity: member.capacity ?? usualCapacity,
			weight: readWeight(member),
		}))
		.toSorted(
			(a, b) => b.capacity - a.capacity || (a.weight < b.weight ? -1 : 1),
		)
		.map(({member}) => member);
}
