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

/** One run: faults at a step, and the seed of everything else. */
export type ConfigRun = {
	readonly faults: readonly Fault[];
	readonly step: Step;
	readonly seed: number;
	readonly variant?: Variant;
};

const sizes: Readonly<Record<string, number>> = {abdali: 5, marka: 3};
const faultsFromMs = 4000;
const faultsUntilMs = 7000;
const maxGapMs = 1500;
const submissionsEndMs = 10_000;
const recoveryMs = 7000;
const viewIntervalMs = 500;

/**
 * Runs a small fleet of two data centres under a workload, brings the faults
 * about at the step, lets it recover, and checks every invariant.
 *
 * @param run - see `ConfigRun`
 * @returns what was broken, empty when all held
 * @example
 * runConfigWorld({faults: ['frozen'], step: 'create', seed: 1});
 */
export function runConfigSimulation(run: ConfigRun): readonly string[] {
	const scheduler = createScheduler(run.seed);
	const verdicts: OperatorOutcome[] = [];
	let waiting = [...run.faults];
	let occurrence = 1 + Math.floor(scheduler.random() * 3);
	let isAgain = false;
	let disturbedUntil = submissionsEndMs;

	function bringAbout(node: SimNode): void {
		const [fault, ...rest] = waiting;
		waiting = rest;
		if (fault) {
			applyFault(world, fault, node);
			if (scheduler.random() < 0.5) {
				bringAbout(node);
				return;
			}

			scheduler.schedule(scheduler.random() * maxGapMs, () => {
				isAgain = true;
			});
		}
	}

	function checkStatus(key: string, value: unknown): void {
		const status = dataCentreStatusSchema.safeParse(value).data;
		for (const node of world.nodes.values()) {
			const running = node.readRunningVersion() ?? status?.version ?? 0;
			const isLate =
				node.dataCentre === status?.dataCentre &&
				node.readState() !== 'dead' &&
				running < status.version;
			if (isLate) {
				world.violations.push(
					`${key} says ${status.version} while ${node.name} runs ${running}`,
				);
			}
		}
	}

	const world: Simulation = {
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
				waiting.length > 0 &&
				scheduler.now() >= faultsFromMs &&
				(isAgain || waiting.length === run.faults.length);
			occurrence -= isDue ? 1 : 0;
			if (!isDue || occurrence > 0) {
				node.receive(action);
				return;
			}

			isAgain = false;
			const isBefore = scheduler.random() < 0.5;
			if (!isBefore) {
				node.receive(action);
			}

			bringAbout(node);
			if (isBefore) {
				node.receive(action);
			}
		},
		recordFaultEnd(time) {
			disturbedUntil = Math.max(disturbedUntil, time);
		},
		startConcurrentOperators() {
			startOperator('kitchens');
			startOperator('brigades');
		},
		startNode(slot, dataCentre, name) {
			const address = `${name}/${scheduler.now()}`;
			const node = createSimNode(world, {slot, name, dataCentre, address});
			world.nodes.set(slot, node);
			world.nodesByAddress.set(address, node);
			members = [...members.filter((other) => other.name !== name), node];
			node.updateMembers(members);
		},
	};
	let members: readonly SimNode[] = [];
	for (const [dataCentre, size] of Object.entries(sizes)) {
		for (let index = 0; index < size; index++) {
			const name = `${dataCentre}-${index}`;
			world.startNode(name, dataCentre, name);
		}
	}

	function spreadViews(): void {
		for (const node of world.nodes.values()) {
			node.updateMembers(members);
		}

		scheduler.schedule(viewIntervalMs, spreadViews);
	}

	const startOperator = startOperators(world, {
		endMs: submissionsEndMs,
		onOutcome(verdict) {
			verdicts.push(verdict);
		},
	});
	spreadViews();
	scheduler.schedule(500, () => {
		startOperator('kitchens');
		startOperator('kitchens');
		startOperator('brigades');
		if (run.step === 'read-back') {
			scheduler.schedule(faultsFromMs, () => {
				world.platform.faults.lostAnswerCount += 2;
			});
		}
	});
	for (let time = faultsUntilMs; time < submissionsEndMs; time += maxGapMs) {
		scheduler.schedule(time, () => {
			const nodes = [...world.nodes.values()];
			bringAbout(nodes[Math.floor(scheduler.random() * nodes.length)]!);
		});
	}

	scheduler.runUntil(submissionsEndMs);
	scheduler.runUntil(disturbedUntil + recoveryMs);
	return checkInvariants(world, verdicts);
}
