import {breakConnection} from './fake-network.js';
import {
	lateDuplicateMs,
	type FakeConnection,
	type FakeHost,
	type FakeRequest,
	type StepLocation,
	type Simulation,
} from './simulation.js';

/** Faults of the matrix of requests. */
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
const floodRecords = 200;

function killGate(world: Simulation, host: FakeHost): void {
	host.isGateAlive = false;
	host.generation++;
	host.queue.length = 0;
	host.waiters.clear();
	host.inFlight = 0;
	for (const connection of host.connections) {
		breakConnection(world, connection);
	}

	host.connections.clear();
}

function restartGate(world: Simulation, host: FakeHost): void {
	killGate(world, host);
	world.scheduler.schedule(restartMs, () => {
		const epoch = `${host.name}-${host.generation}`;
		host.ledger = world.mechanisms.createLedger({epoch});
		host.isGateAlive = true;
	});
}

function floodLedger(world: Simulation, host: FakeHost): void {
	const now = world.scheduler.now();
	const stamp = host.ledger.readStamp(now);
	for (let index = 0; index < floodRecords; index++) {
		host.ledger.refuse({id: `flood/${index}`, stamp}, now);
	}
}

type Target = {
	readonly world: Simulation;
	readonly host: FakeHost;
	readonly connections: readonly FakeConnection[];
	readonly request: FakeRequest | undefined;
	readonly now: number;
};

const actions: Readonly<Record<RequestFault, (target: Target) => void>> = {
	'caller-killed'({world}) {
		world.isCallerAlive = false;
	},
	'gate-killed'({world, host}) {
		killGate(world, host);
	},
	'gate-restarted'({world, host}) {
		restartGate(world, host);
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
	'connection-broken'({world, connections}) {
		for (const connection of connections) {
			breakConnection(world, connection);
		}
	},
	'cut-to-gate'({world, now}) {
		world.cutToGateUntil = now + cutMs;
	},
	'cut-to-caller'({world, now}) {
		world.cutToCallerUntil = now + cutMs;
	},
	'answer-late'({world}) {
		world.responseDelayMs = freezeMs;
	},
	duplicate({world}) {
		world.duplicateDelaysMs = [0.5, 5, 1000];
	},
	'late-duplicate'({world}) {
		world.duplicateDelaysMs = [lateDuplicateMs];
	},
	cancelled({world, request}) {
		world.scheduler.schedule(0, () => {
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
	'ledger-overflows'({world, host}) {
		floodLedger(world, host);
	},
};

/**
 * Makes a fault occur at a step of a request.
 *
 * @param world - the case's world
 * @param fault - the fault
 * @param requestId - the request at the step
 * @param place - where the step happens
 */
export function applyFault(
	world: Simulation,
	fault: RequestFault,
	requestId: string,
	place: StepLocation,
): void {
	const host = place.host ?? world.hosts[0]!;
	actions[fault]({
		world,
		host,
		connections: place.connection ? [place.connection] : [...host.connections],
		request: world.requests.find(({id}) => id === requestId),
		now: world.scheduler.now(),
	});
}
