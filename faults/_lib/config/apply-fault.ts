import type {Fault, SimNode, Simulation} from './config-simulation.js';

const minDurationMs = 1000;
const durationRangeMs = 4000;
const maxRestartDelayMs = 1500;

const lastingFaults: ReadonlySet<Fault> = new Set([
	'frozen',
	'platform-down',
	'platform-slow',
	'cut-from-platform',
	'data-centres-cut',
	'one-way-cut',
	'reordered-duplicated',
]);

function restartLater(world: Simulation, node: SimNode, name: string): void {
	const delay = 200 + world.scheduler.random() * maxRestartDelayMs;
	world.recordFaultEnd(world.scheduler.now() + delay);
	world.scheduler.schedule(delay, () => {
		if (world.nodes.get(node.slot)?.readState() === 'dead') {
			world.startNode(node.slot, node.dataCentre, name);
		}
	});
}

function listOthers(world: Simulation, node: SimNode): SimNode[] {
	return [...world.nodes.values()].filter(({name}) => name !== node.name);
}

function pickOther(world: Simulation, node: SimNode): SimNode {
	const others = listOthers(world, node).filter(
		({dataCentre}) => dataCentre === node.dataCentre,
	);
	return others[Math.floor(world.scheduler.random() * others.length)]!;
}

/**
 * Brings a fault about, at or around a node.
 *
 * Faults with a duration end after one to five seconds; a silent watch stays
 * silent for good.
 *
 * @param world - the world
 * @param fault - the fault
 * @param node - the node that has reached the step
 */
export function applyFault(
	world: Simulation,
	fault: Fault,
	node: SimNode,
): void {
	const {scheduler, platform, network} = world;
	const now = scheduler.now();
	const duration = minDurationMs + scheduler.random() * durationRangeMs;
	if (lastingFaults.has(fault)) {
		world.recordFaultEnd(now + duration);
	}

	switch (fault) {
		case 'killed': {
			node.kill();
			restartLater(world, node, node.name);
			break;
		}

		case 'data-centre-killed': {
			for (const other of world.nodes.values()) {
				if (other.dataCentre === node.dataCentre) {
					other.kill();
					restartLater(world, other, other.name);
				}
			}

			break;
		}

		case 'frozen': {
			node.freeze();
			scheduler.schedule(duration, () => {
				node.resume();
			});
			break;
		}

		case 'host-replaced': {
			node.kill();
			restartLater(world, node, `${node.name}r`);
			break;
		}

		case 'platform-down': {
			platform.faults.downUntil = now + duration;
			break;
		}

		case 'platform-slow': {
			platform.faults.slowUntil = now + duration;
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
			for (const other of listOthers(world, node)) {
				network.faults.silent.add(`${node.name}>${other.name}`);
				network.faults.silent.add(`${other.name}>${node.name}`);
			}

			break;
		}

		case 'cut-from-platform': {
			platform.faults.cutUntil.set(node.dataCentre, now + duration);
			break;
		}

		case 'data-centres-cut': {
			network.faults.dataCentresCutUntil = now + duration;
			break;
		}

		case 'one-way-cut': {
			const other = pickOther(world, node);
			network.faults.cutLinks.set(`${other.name}>${node.name}`, now + duration);
			break;
		}

		case 'reordered-duplicated': {
			network.faults.reorderingUntil = now + duration;
			break;
		}

		case 'concurrent-operators': {
			world.startConcurrentOperators();
			break;
		}
	}
}
