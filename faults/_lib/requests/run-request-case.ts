import {createScheduler} from '../../../harness/create-scheduler.js';
import {applyFault, type RequestFault} from './apply-fault.js';
import {startRequest, type StampCache} from './fake-caller.js';
import {findViolations} from './find-violations.js';
import {productMechanisms, type Mechanisms} from './mechanisms.js';
import {
	lateDuplicateMs,
	type FakeHost,
	type Step,
	type Simulation,
} from './simulation.js';

/** A fault and the step at which it occurs. */
export type FaultAtStep = {readonly fault: RequestFault; readonly step: Step};

/** Options of `runRequestCase`. */
export type RequestCaseOptions = {
	readonly seed: number;
	readonly repeatable: boolean;
	readonly faults: readonly FaultAtStep[];
	/** Decision functions; default: those of the product. */
	readonly mechanisms?: Mechanisms;
};

const maxRecords = 64;
const endMs = 2 * lateDuplicateMs;
const firstRequestMs = 100;
const targetId = 'b';

function createHost(name: string, mechanisms: Mechanisms): FakeHost {
	return {
		name,
		ledger: mechanisms.createLedger({epoch: `${name}-0`, maxRecords}),
		generation: 0,
		isGateAlive: true,
		isLeaving: false,
		leavingSince: Number.POSITIVE_INFINITY,
		gateFrozenUntil: 0,
		upstreamGeneration: 0,
		isUpstreamAlive: true,
		upstreamFrozenUntil: 0,
		isShedding: false,
		truncatesResponses: false,
		isUnresponsive: false,
		serviceMs: 1,
		inFlight: 0,
		queue: [],
		waiters: new Map(),
		connections: new Set(),
		starts: [],
	};
}

function createSimulation(options: RequestCaseOptions): Simulation {
	const {seed, repeatable, mechanisms = productMechanisms} = options;
	return {
		scheduler: createScheduler(seed),
		mechanisms,
		repeatable,
		hosts: ['abdali-1', 'abdali-2'].map((name) => createHost(name, mechanisms)),
		requests: [],
		isCallerAlive: true,
		responseDelayMs: 0,
		duplicateDelaysMs: [],
		cutToGateUntil: 0,
		cutToCallerUntil: 0,
		onStep() {
			// Replaced by `runRequestCase`.
		},
	};
}

/** Lists faults without which the steps `ask` and `retry` do not occur. */
function listPreparations(faults: readonly FaultAtStep[]): FaultAtStep[] {
	const wanted = new Set(faults.map(({step}) => step));
	return [
		...(wanted.has('ask')
			? [{fault: 'responses-blackholed', step: 'send'} as const]
			: []),
		...(wanted.has('retry')
			? [{fault: 'gate-leaves', step: 'send'} as const]
			: []),
	];
}

/**
 * Runs one case: after a first request that fetches a stamp, three requests,
 * with faults at steps of the second.
 *
 * @param options - see `RequestCaseOptions`
 * @returns one line for each violation; empty when all invariants hold
 */
export function runRequestCase(options: RequestCaseOptions): readonly string[] {
	const simulation = createSimulation(options);
	const {scheduler} = simulation;
	const stamps: StampCache = new Map();
	const pending = [...listPreparations(options.faults), ...options.faults];
	simulation.onStep = (step, requestId, place) => {
		if (requestId !== targetId) {
			return;
		}

		for (const faultAtStep of pending.filter(
			(faultAtStep) => faultAtStep.step === step,
		)) {
			pending.splice(pending.indexOf(faultAtStep), 1);
			applyFault(simulation, faultAtStep.fault, requestId, place);
		}
	};

	for (const [index, id] of ['warm', 'a', targetId, 'c'].entries()) {
		const at = index === 0 ? 0 : firstRequestMs + index * 0.3;
		scheduler.schedule(at, () => {
			startRequest(simulation, id, stamps);
		});
	}

	scheduler.runUntil(endMs);
	return findViolations(simulation, options);
}
