import type {Fault, SimNode, Simulation} from './config-simulation.js';

const minDurationMs = 1000;
const durationRangeMs = 4000;
const restartDelayRangeMs = 1500;

const timedFaults: ReadonlySet<Fault> = new Set([
	'frozen',
	'platform-down',
	'platform-slow',
	'cut-from-platform',
	'data-centres-cut',
	'one-way-cut',
	'reordered-duplicated',
]);

function scheduleRestart(
	simulation: Simulation,
	node: SimNode,
	name: string,
): void {
	const delayMs = 200 + simulation.scheduler.random() * restartDelayRangeMs;
	simulation.recordFaultEnd(simulation.scheduler.now() + delayMs);
	simulation.scheduler.schedule(delayMs, () => {
		if (simulation.nodes.get(node.slot)?.readState() === 'dead') {
			simulation.startNode(node.slot, node.dataCentre, name);
		}
	});
}

function listOthers(simulation: Simulation, node: SimNode): SimNode[] {
	return [...simulation.nodes.values()].filter(({name}) => name !== node.name);
}

function pickLocalPeer(simulation: Simulation, node: SimNode): SimNode {
	const others = listOthers(simulation, node).filter(
		({dataCentre}) => dataCentre === node.dataCentre,
	);
	return others[Math.floor(simulation.scheduler.random() * others.length)]!;
}

/**
 * Applies a fault to a node, to its peers or to the platform.
 *
 * Faults with a duration end after one to five seconds; stalled watches stay
 * stalled until the end of the simulation.
 *
 * @param simulation - the simulation
 * @param fault - the fault to apply
 * @param node - the node that has reached the step
 */
export function applyFault(
	simulation: Simulation,
	fault: Fault,
	node: SimNode,
): void {
	const {scheduler, platform, network} = simulation;
	const now = scheduler.now();
	const durationMs = minDurationMs + scheduler.random() * durationRangeMs;
	if (timedFaults.has(fault)) {
		simulation.recordFaultEnd(now + durationMs);
	}

	switch (fault) {
		case 'killed': {
			node.kill();
			scheduleRestart(simulation, node, node.name);
			break;
		}

		case 'data-centre-killed': {
			for (const other of simulation.nodes.values()) {
				if (other.dataCentre === node.dataCentre) {
					other.kill();
					scheduleRestart(simulation, other, other.name);
				}
			}

			break;
		}

		case 'frozen': {
			node.freeze();
			scheduler.schedule(durationMs, () => {
				node.resume();
			});
			break;
		}

		case 'host-replaced': {
			node.kill();
			scheduleRestart(simulation, node, `${node.name}r`);
			break;
		}

		case 'platform-down': {
			platform.faults.downUntil = now + durationMs;
			break;
		}

		case 'platform-slow': {
			platform.faults.slowUntil = now + durationMs;
			break;
		}

		case 'answer-lost': {
			platform.faults.lostAnswerCount += 1 + Math.floor(scheduler.random() * 2);
			break;
		}

		case 'watch-stalled': {
			platform.faults.areWatchesStalled = true;
			break;
		}

		case 'connections-stalled': {
			for (const other of listOthers(simulation, node)) {
				network.faults.silent.add(`${node.name}>${other.name}`);
				network.faults.silent.add(`${other.name}>${node.name}`);
			}

			break;
		}

		case 'cut-from-platform': {
			platform.faults.cutUntil.set(node.dataCentre, now + durationMs);
			break;
		}

		case 'data-centres-cut': {
			network.faults.dataCentresCutUntil = now + durationMs;
			break;
		}

		case 'one-way-cut': {
			const other = pickLocalPeer(simulation, node);
			network.faults.cutLinks.set(
				`${other.name}>${node.name}`,
				now + durationMs,
			);
			break;
		}

		case 'reordered-duplicated': {
			network.faults.reorderingUntil = now + durationMs;
			break;
		}

		case 'concurrent-operators': {
			simulation.startConcurrentOperators();
			break;
		}
	}
}
