import type {Member} from '../../protocol/member.js';
import {computeWeight} from './compute-weight.js';

/**
 * Orders the live members of a data centre by rendezvous weight.
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
		.map((member) => ({member, weight: computeWeight(member.name, 'tree')}))
		.toSorted((a, b) => (a.weight < b.weight ? -1 : 1))
		.map(({member}) => member);
}
