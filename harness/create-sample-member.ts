import type {Member} from '../src/protocol/member.js';

/**
 * Creates the record of a live member without upstreams.
 *
 * @param changes - what differs from it
 * @returns the record
 * @example
 * createSampleMember({name: 'abdali-2', capacity: 5});
 */
export function createSampleMember(changes: Partial<Member> = {}): Member {
	return {
		name: 'abdali-1',
		dataCentre: 'abdali',
		address: '10.0.0.1:8081',
		incarnation: 1,
		sequence: 0,
		state: 'alive',
		upstreams: [],
		...changes,
	};
}
