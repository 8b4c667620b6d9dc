import {createScheduler} from '../../../harness/create-scheduler.js';
import {dataCentreStatusSchema} from '../../../src/protocol/configuration.js';
import {applyFault} from './apply-fault.js';
import {checkInvariants} from './check-invariants.js';
import type {
	Fault,
	SimNode,
	Step,
	Variant,
	Simulation,
} from './config-simulation.js';
import {createFakeNetwork} from './create-fake-network.js';
import {createFakePlatform} from './create-fake-platform.js';
import {createSimNode} from './create-sim-node.js';
import {createCachedApplyEntry} from './create-cached-apply-entry.js';
import {startOperators, type OperatorOutcome} from './start-operators.js';

/** One run: faults, the step at which they occur and the random seed. */
export type ConfigRun = {
	readonly faults: readonly Fault[];
	readonly step: Step;
	readonly seed: number;
	readonly variant?: Variant;
};

const nodesPerDataCentre: Readonly<Record<string, number>> = {
	abdali: 5,
	marka: 3,
};
const faultsFromMs = 4000;
const faultsUntilMs = 7000;
const maxFaultGapMs = 1500;
const submissionsEndMs = 10_000;
const recoveryMs = 7000;
const viewIntervalMs = 500;

/**
 * Runs a small fleet of two data centres under a workload, applies the faults
 * at the step, waits for recovery and checks all invariants.
 *
 * @param run - see `ConfigRun`
 * @returns one line for each violation; empty when all invariants hold
 * @example
 * runConfigSimulation({faults: ['frozen'], step: 'create', seed: 1});
 */
export function runConfigSimulation(run: ConfigRun): readonly string[] {
	const scheduler = createScheduler(run.seed);
	const outcomes: OperatorOutcome[] = [];
	let pendingFaults = [...run.faults];
	let remainingOccurrences = 1 + Math.floor(scheduler.random() * 3);
	let isNextFaultDue = false;
	let faultsEndAt = submissionsEndMs;

	function applyNextFaults(node: SimNode): void {
		const [fault, ...rest] = pendingFaults;
		pendingFaults = rest;
		if (fault) {
			applyFault(simulation, fault, node);
			if (scheduler.random() < 0.5) {
				applyNextFaults(node);
				return;
			}

			scheduler.schedule(scheduler.random() * maxFaultGapMs, () => {
				isNextFaultDue = true;
			});
		}
	}

	function checkStatus(key: string, value: unknown): void {
		const status = dataCentreStatusSchema.safeParse(value).data;
		for (const node of simulation.nodes.values()) {
			const running = node.readRunningVersion() ?? status?.version ?? 0;
			const isBehind =
				node.dataCentre === status?.dataCentre &&
				node.readState() !== 'dead' &&
				running < status.version;
			if (isBehind) {
				simulation.violations.push(
					`${key} reports ${status.version} while ${node.name} runs ${running}`,
				);
			}
		}
	}

	const simulation: Simulation = {
		scheduler,
		platform: createFakePlatform(scheduler, {
			onStatus: checkStatus,
			ignoresConditions: run.variant?.ignoresConditions ?? false,
		}),
		network: createFakeNetwork(scheduler),
		variant: {
			...run.variant,
			delivery: {
				applyEntry: createCachedApplyEntry(),
				...run.variant?.delivery,
			},
		},
		violations: [],
		nodes: new Map(),
		nodesByAddress: new Map(),
		activations: new Map(),
		reachStep(step, node, action) {
			const isDue =
				step === run.step &&
				pendingFaults.length > 0 &&
				scheduler.now() >= faultsFromMs &&
				(isNextFaultDue || pendingFaults.length === run.faults.length);
			remainingOccurrences -= isDue ? 1 : 0;
			if (!isDue || remainingOccurrences > 0) {
				node.receive(action);
				return;
			}

			isNextFaultDue = false;
			const isBefore = scheduler.random() < 0.5;
			if (!isBefore) {
				node.receive(action);
			}

			applyNextFaults(node);
			if (isBefore) {
				node.receive(action);
			}
		},
		recordFaultEnd(time) {
			faultsEndAt = Math.max(faultsEndAt, time);
		},
		startConcurrentOperators() {
			startOperator('kitchens');
			startOperator('brigades');
		},
		startNode(slot, dataCentre, name) {
			const address = `${name}/${scheduler.now()}`;
			const node = createSimNode(simulation, {slot, name, dataCentre, address});
			simulation.nodes.set(slot, node);
			simulation.nodesByAddress.set(address, node);
			members = [...members.filter((other) => other.name !== name), node];
			node.updateMembers(members);
		},
	};
	let members: readonly SimNode[] = [];
	for (const [dataCentre, size] of Object.entries(nodesPerDataCentre)) {
		for (let index = 0; index < size; index++) {
			const name = `${dataCentre}-${index}`;
			simulation.startNode(name, dataCentre, name);
		}
	}

	function updateViews(): void {
		for (const node of simulation.nodes.values()) {
			node.updateMembers(members);
		}

		scheduler.schedule(viewIntervalMs, updateViews);
	}

	const startOperator = startOperators(simulation, {
		endMs: submissionsEndMs,
		onOutcome(outcome) {
			outcomes.push(outcome);
		},
	});
	updateViews();
	scheduler.schedule(500, () => {
		startOperator('kitchens');
		startOperator('kitchens');
		startOperator('brigades');
		if (run.step === 'read-back') {
			scheduler.schedule(faultsFromMs, () => {
				simulation.platform.faults.lostAnswerCount += 2;
			});
		}
	});
	for (
		let time = faultsUntilMs;
		time < submissionsEndMs;
		time += maxFaultGapMs
	) {
		scheduler.schedule(time, () => {
			const nodes = [...simulation.nodes.values()];
			applyNextFaults(nodes[Math.floor(scheduler.random() * nodes.length)]!);
		});
	}

	scheduler.runUntil(submissionsEndMs);
	scheduler.runUntil(faultsEndAt + recoveryMs);
	return checkInvariants(simulation, outcomes);
}
