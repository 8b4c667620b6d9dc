import {referenceCapacity} from '../../protocol/constants.js';
import type {Member} from '../../protocol/member.js';
import {computeWeight} from './compute-weight.js';
import {memoizeByMember} from './memoize-by-member.js';

const readWeight = memoizeByMember(({name}) => computeWeight(name, 'tree'));

/**
 * Orders the live members of a data centre by capacity, and those of the same
 * capacity by rendezvous weight.
 *
 * The relative order of two members depends only on these two. All nodes
 * therefore compute the same order, and a member that joins or leaves does not
 * change the order of the others.
 *
 * @param members - known members, in any order
 * @param dataCentre - the data centre
 * @param selfName - name of a node that counts as live whatever the state in its record
 * @returns its live members in order; the first ones are the roots
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
			capacity: member.capacity ?? referenceCapacity,
			weight: readWeight(member),
		}))
		.toSorted(
			(a, b) => b.capacity - a.capacity || (a.weight < b.weight ? -1 : 1),
		)
		.map(({member}) => member);
}
