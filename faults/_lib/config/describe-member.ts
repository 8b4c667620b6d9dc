import type {Member} from '../../../src/protocol/member.js';
import type {SimNode} from './config-simulation.js';

const suspectAfterMs = 5000;
const deadAfterMs = 2500;

/**
 * Describes a node as the membership shows it, some time after the fact.
 *
 * @param other - the node
 * @param now - time in ms
 * @returns its record
 */
export function describeMember(other: SimNode, now: number): Member {
	const silentMs = now - other.readStateSince();
	const states = {
		up: 'alive',
		frozen: silentMs > suspectAfterMs ? 'suspect' : 'alive',
		dead: silentMs > deadAfterMs ? 'dead' : 'alive',
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
