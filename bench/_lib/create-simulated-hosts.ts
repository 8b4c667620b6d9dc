import type {Candidate} from '../../src/protocol/member.js';
import {
	createSimulatedGate,
	type HostBehaviour,
	type SimulatedGate,
	type SimulatedGateOptions,
} from './create-simulated-gate.js';

/** Options of `createSimulatedHosts`: those of a gate, but the behaviour. */
export type SimulatedHostsOptions = Omit<SimulatedGateOptions, 'behaviour'> & {
	/** Behaviour of each host. */
	readonly behaviours: readonly HostBehaviour[];
};

/** Hosts of one service in virtual time. */
export type SimulatedHosts = {
	readonly candidates: readonly Candidate[];
	readonly gates: ReadonlyMap<string, SimulatedGate>;
};

/**
 * Creates the hosts of one service, each with a gate in virtual time.
 *
 * @param options - see `SimulatedHostsOptions`
 * @returns the candidates to pick from and their gates by host
 * @example
 * createSimulatedHosts({...options, behaviours: ['healthy', 'slow']});
 */
export function createSimulatedHosts(
	options: SimulatedHostsOptions,
): SimulatedHosts {
	const {behaviours, ...gateOptions} = options;
	const candidates = behaviours.map((_, index): Candidate => ({
		host: `host-${index}`,
		address: '',
		dataCentre: 'abdali',
		slots: gateOptions.slots,
		sinceMs: 0,
	}));
	const gates = new Map(
		behaviours.map((behaviour, index) => [
			candidates[index]!.host,
			createSimulatedGate({...gateOptions, behaviour}),
		]),
	);
	return {candidates, gates};
}
