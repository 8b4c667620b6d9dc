import {breakConnection} from './fake-network.js';
import {
	lateDuplicateMs,
	type FakeConnection,
	type FakeHost,
	type FakeRequest,
	type StepLocation,
	type Simulation,
} from './simulation.js';

/** Faults of the request matrix. */
export const requestFaults = [
	'caller-killed',
	'gate-killed',
	'gate-restarted',
	'upstream-killed',
	'upstream-truncates',
	'upstream-unresponsive',
	'gate-frozen',
	'upstream-frozen',
	'requests-blackholed',
	'responses-blackholed',
	'connection-broken',
	'cut-to-gate',
	'cut-to-caller',
	'answer-late',
	'duplicate',
	'late-duplicate',
	'cancelled',
	'gate-leaves',
	'shed',
	'cold-start',
	'ledger-overflows',
] as const;

export type RequestFault = (typeof requestFaults)[number];

const freezeMs = 700;
const restartMs = 30;
const cutMs = 300;
const floodRecordCount = 200;

function killGate(simulation: Simulation, host: FakeHost): void {
	host.isGateAlive = false;
	host.generation++;
	host.queue.length = 0;
	host.waiters.clear();
	host.inFlight = 0;
	for (const connection of host.connections) {
		breakConnection(simulation, connection);
	}

	host.connections.clear();
}

function restartGate(simulation: Simulation, host: FakeHost): void {
	killGate(simulation, host);
	simulation.scheduler.schedule(restartMs, () => {
		const epoch = `${host.name}-${host.generation}`;
		host.ledger = simulation.mechanisms.createLedger({epoch});
		host.isGateAlive = true;
	});
}

function floodLedger(simulation: Simulation, host: FakeHost): void {
	const now = simulation.scheduler.now();
	const stamp = host.ledger.readStamp(now);
	for (let index = 0; index < floodRecordCount; index++) {
		host.ledger.refuse({id: `flood/${index}`, stamp}, now);
	}
}

type Target = {
	readonly simulation: Simulation;
	readonly host: FakeHost;
	readonly connections: readonly FakeConnection[];
	readonly request: FakeRequest | undefined;
	readonly now: number;
};

const actions: Readonly<Record<RequestFault, (target: Target) => void>> = {
	'caller-killed'({simulation}) {
		simulation.isCallerAlive = false;
	},
	'gate-killed'({simulation, host}) {
		killGate(simulation, host);
	},
	'gate-restarted'({simulation, host}) {
		restartGate(simulation, host);
	},
	'upstream-killed'({host}) {
		host.isUpstreamAlive = false;
		host.upstreamGeneration++;
	},
	'upstream-truncates'({host}) {
		host.truncatesResponses = true;
	},
	'upstream-unresponsive'({host}) {
		host.isUnresponsive = true;
	},
	'gate-frozen'({host, now}) {
		host.gateFrozenUntil = now + freezeMs;
	},
	'upstream-frozen'({host, now}) {
		host.upstreamFrozenUntil = now + freezeMs;
	},
	'requests-blackholed'({connections}) {
		for (const connection of connections) {
			connection.losesRequests = true;
			connection.losesResponses = true;
		}
	},
	'responses-blackholed'({connections}) {
		for (const connection of connections) {
			connection.losesResponses = true;
		}
	},
	'connection-broken'({simulation, connections}) {
		for (const connection of connections) {
			breakConnection(simulation, connection);
		}
	},
	'cut-to-gate'({simulation, now}) {
		simulation.cutToGateUntil = now + cutMs;
	},
	'cut-to-caller'({simulation, now}) {
		simulation.cutToCallerUntil = now + cutMs;
	},
	'answer-late'({simulation}) {
		simulation.responseDelayMs = freezeMs;
	},
	duplicate({simulation}) {
		simulation.duplicateDelaysMs = [0.5, 5, 1000];
	},
	'late-duplicate'({simulation}) {
		simulation.duplicateDelaysMs = [lateDuplicateMs];
	},
	cancelled({simulation, request}) {
		simulation.scheduler.schedule(0, () => {
			request?.cancel();
		});
	},
	'gate-leaves'({host, now}) {
		host.isLeaving = true;
		host.leavingSince = now;
		for (const {refuse} of host.queue.splice(0)) {
			refuse();
		}
	},
	shed({host}) {
		host.isShedding = true;
	},
	'cold-start'({host}) {
		host.serviceMs = freezeMs;
	},
	'ledger-overflows'({simulation, host}) {
		floodLedger(simulation, host);
	},
};

/**
 * Applies a fault at a step of a request.
 *
 * @param simulation - the simulation of the case
 * @param fault - the fault
 * @param requestId - identifier of the request
 * @param place - host and connection at which the step happens; the first host
 *   and all its connections when absent
 */
export function applyFault(
	simulation: Simulation,
	fault: RequestFault,
	requestId: string,
	place: StepLocation,
): void {
	const host = place.host ?? simulation.hosts[0]!;
	actions[fault]({
		simulation,
		host,
		connections: place.connection ? [place.connection] : [...host.connections],
		request: simulation.requests.find(({id}) => id === requestId),
		now: simulation.scheduler.now(),
	});
}
