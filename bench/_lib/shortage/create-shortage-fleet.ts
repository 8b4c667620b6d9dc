import type {Scheduler} from '../../../harness/create-scheduler.js';
import type {Candidate} from '../../../src/protocol/member.js';
import type {ClientTry} from './client-try.js';
import {createShortageNode, type ShortageNode} from './create-shortage-node.js';
import type {ShortageDecisions} from './shortage-decisions.js';
import {
	slots,
	type RequestClass,
	type ShortageHost,
	type StepCosts,
} from './shortage-parameters.js';

/** Options of `createShortageFleet`. */
export type ShortageFleetOptions = {
	readonly scheduler: Scheduler;
	readonly hosts: readonly ShortageHost[];
	readonly classes: ReadonlyMap<string, RequestClass>;
	readonly decisions: ShortageDecisions;
	readonly costs: StepCosts;
	/** Share of a core of each node. */
	readonly share: number;
	/** Factor of the speed of all upstreams. */
	readonly upstreamFactor: number;
	/** Called with the run of each request that an upstream starts. */
	readonly onRunEnd: (
		requestClass: RequestClass,
		status: 'ok' | 'calls-failed' | 'deadline',
	) => void;
};

/** A fleet of nodes with upstreams, in virtual time. */
export type ShortageFleet = {
	/** Sends a client's try to a node of its data centre. */
	send(dataCentre: string, clientTry: ClientTry, isNew: boolean): void;
	/** Stops a node after its requests, and starts it again. */
	restart(index: number): void;
	/** Cuts the power of all nodes, and starts them again. */
	cutPower(downMs: number): void;
	/** Lists the cores that each node has used, ms. */
	listUsedMs(): readonly number[];
};

const clientLinkMs = 1;
const localLinkMs = 0.2;
const remoteLinkMs = 0.5;
/** Time for which a stopping node ends its requests, ms. */
const drainMs = 1000;
const restartMs = 600;

/**
 * Creates a fleet in virtual time; its first nodes are warm.
 *
 * @param options - see `ShortageFleetOptions`
 * @returns the running fleet
 */
export function createShortageFleet(
	options: ShortageFleetOptions,
): ShortageFleet {
	const {scheduler, hosts, share, upstreamFactor} = options;
	const {random, now} = scheduler;
	const byService = new Map<string, readonly Candidate[]>();
	const nodes: ShortageNode[] = [];
	const usedMs = hosts.map(() => 0);

	function updateCandidates(): void {
		byService.clear();
		for (const {host, isReady} of nodes) {
			if (isReady()) {
				const candidate: Candidate = {
					host: host.name,
					address: '',
					dataCentre: host.dataCentre,
					slots,
					sinceMs: 0,
				};
				const known = byService.get(host.service) ?? [];
				byService.set(host.service, [...known, candidate]);
			}
		}
	}

	function createNode(index: number, coldSince: number): ShortageNode {
		const host = hosts[index]!;
		return createShortageNode({
			...options,
			host: {...host, speed: host.speed * upstreamFactor},
			share,
			coldSince,
			listCandidates: (service) => byService.get(service) ?? [],
			findNode: (name) => nodes.find(({host: {name: other}}) => other === name),
			computeLinkMs: (other) =>
				other.dataCentre === host.dataCentre ? localLinkMs : remoteLinkMs,
			nodeCount: hosts.length,
		});
	}

	function pickNode(dataCentre: string): ShortageNode | undefined {
		const local = nodes.filter(
			({host, isReady}) => host.dataCentre === dataCentre && isReady(),
		);
		const ready =
			local.length > 0 ? local : nodes.filter((node) => node.isReady());
		return ready[Math.floor(random() * ready.length)];
	}

	function stop(index: number): void {
		usedMs[index]! += nodes[index]!.loop.readUsedMs();
		nodes[index]!.stop();
		updateCandidates();
	}

	function start(index: number): void {
		nodes[index] = createNode(index, now());
		updateCandidates();
	}

	for (const index of hosts.keys()) {
		nodes.push(createNode(index, Number.NEGATIVE_INFINITY));
	}

	updateCandidates();
	return {
		send(dataCentre, clientTry, isNew) {
			scheduler.schedule(clientLinkMs, () => {
				const node = pickNode(dataCentre);
				if (node) {
					node.receive(clientTry, isNew, clientLinkMs);
				} else {
					clientTry.answer({status: 'closed'});
				}
			});
		},
		restart(index) {
			nodes[index]!.drain();
			updateCandidates();
			scheduler.schedule(drainMs, () => {
				stop(index);
			});
			scheduler.schedule(drainMs + restartMs, () => {
				start(index);
			});
		},
		cutPower(downMs) {
			for (const index of hosts.keys()) {
				stop(index);
				scheduler.schedule(downMs, () => {
					start(index);
				});
			}
		},
		listUsedMs: () =>
			nodes.map(({loop, isStopped}, index) =>
				isStopped() ? usedMs[index]! : usedMs[index]! + loop.readUsedMs(),
			),
	};
}
