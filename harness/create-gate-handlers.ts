import type {PeerHandlers} from '../src/transport/create-peer-router.js';
import type {GateTask} from '../src/transport/start-gate-task.js';

function failOnCall(): never {
	throw new Error('unexpected call from another node');
}

/**
 * Creates the handlers of a node that answers other nodes for its gate only.
 *
 * @param gate - the gate
 * @returns the handlers; those without a gate's answer throw
 * @example
 * startPeerServer({address, gate, logger, handlers: createGateHandlers(gate)});
 */
export function createGateHandlers(gate: GateTask): PeerHandlers {
	return {
		handlePoll: failOnCall,
		handleExchange: failOnCall,
		handleCrashes: failOnCall,
		handleAsk: gate.ask,
		handleCancel: gate.cancel,
		handleStamp: gate.readStamp,
	};
}
