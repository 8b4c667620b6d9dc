import type {Member} from '../../../src/protocol/member.js';
import type {SimNode} from './config-simulation.js';

const suspectAfterMs = 5000;
const deadAfterMs = 2500;

/**
 * Describes a node as the membership shows it: a dead node is marked dead after
 * 2.5 s, a frozen one suspect after 5 s.
 *
 * @param other - the node
 * @param now - simulated time, in ms
 * @returns the member record of the node
 */
export function describeMember(other: SimNode, now: number): Member {
	const inStateMs = now - other.readStateSince();
	const states = {
		up: 'alive',
		frozen: inStateMs > suspectAfterMs ? 'suspect' : 'alive',
		dead: inStateMs > deadAfterMs ? 'dead' : 'alive',
	} as const;
	return {
		name: other.name,
		dataCentre: other.dataCentre,
		address: other.address,
		incarnation: 0,
		sequence: 0,
		state: states[other.readState()],
		upstreams: [],
	};
}
