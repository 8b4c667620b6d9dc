import type {Scheduler} from '../../../harness/create-scheduler.js';
import type {FakeNetwork, SimNode} from './config-simulation.js';

const maxLatencyMs = 5;
const maxReorderingLatencyMs = 900;

/**
 * Creates a fake network that delays, loses, duplicates and reorders messages.
 *
 * @param scheduler - clock, order of events and random numbers
 * @returns the network
 */
export function createFakeNetwork(scheduler: Scheduler): FakeNetwork {
	const faults: FakeNetwork['faults'] = {
		reorderingUntil: 0,
		dataCentresCutUntil: 0,
		cutLinks: new Map(),
		silent: new Set(),
	};

	function isCut(from: SimNode, to: SimNode): boolean {
		const now = scheduler.now();
		const link = `${from.name}>${to.name}`;
		return (
			now < (faults.cutLinks.get(link) ?? 0) ||
			(from.dataCentre !== to.dataCentre && now < faults.dataCentresCutUntil)
		);
	}

	function send(from: SimNode, to: SimNode, deliver: () => void): void {
		const isReordering = scheduler.now() < faults.reorderingUntil;
		const copies = isReordering && scheduler.random() < 0.5 ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const latencyMs =
				scheduler.random() *
				(isReordering ? maxReorderingLatencyMs : maxLatencyMs);
			scheduler.schedule(latencyMs, () => {
				if (!isCut(from, to)) {
					to.receive(deliver);
				}
			});
		}
	}

	return {
		faults,
		send,
		request(from, to, deliver) {
			if (!faults.silent.has(`${from.name}>${to.name}`)) {
				send(from, to, deliver);
			}
		},
		dropConnection(from, to) {
			faults.silent.delete(`${from.name}>${to.name}`);
		},
	};
}
