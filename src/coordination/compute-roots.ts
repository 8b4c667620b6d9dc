import {rootsPerDataCentre} from '../protocol/constants.js';
import type {Member} from '../protocol/member.js';
import {orderMembers} from './_lib/order-members.js';

/**
 * Computes the roots of a data centre's delivery tree.
 *
 * @param members - known members, in any order
 * @param dataCentre - the data centre
 * @param selfName - name of a node that counts as live whatever the state in its record
 * @returns the roots, the first root first
 * @example
 * computeRoots(members, 'abdali').length; // 2
 */
export function computeRoots(
	members: readonly Member[],
	dataCentre: string,
	selfName = '',
): readonly Member[] {
	return orderMembers(members, dataCentre, selfName).slice(
		0,
		rootsPerDataCentre,
	);
}
