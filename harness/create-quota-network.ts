import type {MembersView} from '../src/protocol/member.js';
import type {QuotaSettings} from '../src/protocol/mesh-settings.js';
import type {DocumentTenant} from '../src/protocol/routing-document.js';
import {
	createQuotaNode,
	type QuotaNodeOptions,
} from '../src/transport/_lib/create-quota-node.js';
import {createSampleMember} from './create-sample-member.js';
import {createScheduler} from './create-scheduler.js';

type QuotaNode = ReturnType<typeof createQuotaNode>;

/** What the simulation needs of a node. */
export type SimulatedQuotaNode = Pick<
	QuotaNode,
	'take' | 'updateMembers' | 'updateTenants' | 'answerAsks' | 'stop'
>;

/** Options of `createQuotaNetwork`. */
export type QuotaNetworkOptions = {
	readonly seed: number;
	readonly nodes: number;
	readonly tenants: readonly DocumentTenant[];
	/** Longest time from a fault until the first node knows of it, ms; default 3000. */
	readonly detectionMs?: number;
	/** Longest time after that until all nodes know, ms; default 800. */
	readonly spreadMs?: number;
	/** Time for which a node that does not answer is suspected before it counts as dead, ms; default 4000. */
	readonly suspicionMs?: number;
	/** Creates a node; by default one with quota homes. */
	readonly createNode?: (options: QuotaNodeOptions) => SimulatedQuotaNode;
};

type EndedHost = {
	readonly name: string;
	incarnation: number;
	isAlive: boolean;
	/** Side of a cut. */
	side: number;
	suspendedUntil: number;
	/** Until when the others suspect it although it answers. */
	suspectedUntil: number;
	/** What it knows of the others. */
	readonly known: Map<string, 'alive' | 'suspect' | 'dead'>;
};

type Host = EndedHost & {node: SimulatedQuotaNode};

/** What a sender of requests reads of a host. */
export type QuotaHost = Readonly<
	Pick<Host, 'node' | 'isAlive' | 'suspendedUntil'>
>;

/** Tolerances of the simulated quotas. */
export const sampleQuotaSettings: QuotaSettings = {
	windowMs: 5000,
	overRatio: 0.1,
	slack: 20,
};

const linkMs = 1.4;
const handlingMs = 3;
const askTimeoutMs = 500;
const msPerSecond = 1000;

/**
 * Creates nodes with quotas on simulated time, and a network between them that
 * delays, loses and cuts.
 *
 * @param options - see `QuotaNetworkOptions`
 * @returns the nodes, their scheduler and their faults
 * @example
 * createQuotaNetwork({seed: 1, nodes: 3, tenants}).countHosts(); // 3
 */
export function createQuotaNetwork(options: QuotaNetworkOptions) {
	const {createNode = createQuotaNode} = options;
	const {detectionMs = 3000, spreadMs = 800, suspicionMs = 4000} = options;
	const scheduler = createScheduler(options.seed);
	const {now, random} = scheduler;
	const hosts = new Map<string, Host>();
	const hostList: Host[] = [];
	let {tenants} = options;
	let lossRatio = 0;
	let messages = 0;

	/** Runs an action on a host once it is not suspended, unless it has ended. */
	function runOn(host: EndedHost, action: () => void): void {
		const {incarnation} = host;
		const attempt = (): void => {
			if (host.incarnation !== incarnation) {
				return;
			}

			if (now() < host.suspendedUntil) {
				scheduler.schedule(host.suspendedUntil - now(), attempt);
				return;
			}

			action();
		};

		attempt();
	}

	function deliver(from: EndedHost, to: EndedHost, action: () => void): void {
		messages++;
		const delayMs = linkMs - Math.log(1 - random()) * handlingMs;
		const isLost = random() < lossRatio;
		scheduler.schedule(delayMs, () => {
			if (!isLost && to.isAlive && from.side === to.side) {
				runOn(to, action);
			}
		});
	}

	function startNode(host: EndedHost): SimulatedQuotaNode {
		const node = createNode({
			name: host.name,
			settings: sampleQuotaSettings,
			now,
			random,
			schedule(delayMs, action) {
				return scheduler.schedule(delayMs, () => {
					runOn(host, action);
				});
			},
			sendAsks(address, asks, onAnswer) {
				const to = hosts.get(address)!;
				let isEnded = false;
				const end: typeof onAnswer = (grants) => {
					if (!isEnded) {
						isEnded = true;
						onAnswer(grants);
					}
				};

				scheduler.schedule(askTimeoutMs, () => {
					runOn(host, () => {
						end(undefined);
					});
				});
				deliver(host, to, () => {
					const grants = to.node.answerAsks(host.name, asks);
					deliver(to, host, () => {
						end(grants);
					});
				});
			},
		});
		node.updateTenants(tenants);
		return node;
	}

	function createView(host: Host): MembersView {
		const members = [...host.known].map(([name, state]) =>
			createSampleMember({name, address: name, state}),
		);
		const self = createSampleMember({name: host.name, address: host.name});
		return {self, members: [self, ...members], candidates: new Map()};
	}

	/** Lets a node suspect another one, which counts as dead unless it is seen again in time. */
	function suspect(host: Host, name: string): void {
		host.known.set(name, 'suspect');
		scheduler.schedule(suspicionMs, () => {
			runOn(host, () => {
				if (host.known.get(name) === 'suspect') {
					host.known.set(name, 'dead');
					host.node.updateMembers(createView(host));
				}
			});
		});
	}

	/** Lets all nodes find out which others they reach, each a little later than the first. */
	function detect(maxMs = detectionMs): void {
		const firstMs = maxMs * random();
		for (const host of hosts.values()) {
			scheduler.schedule(firstMs + spreadMs * random(), () => {
				runOn(host, () => {
					for (const other of hosts.values()) {
						const isSeen =
							other.isAlive &&
							other.side === host.side &&
							now() >= Math.max(other.suspendedUntil, other.suspectedUntil);
						if (other === host) {
							continue;
						}

						if (isSeen) {
							host.known.set(other.name, 'alive');
						} else if (host.known.get(other.name) === 'alive') {
							suspect(host, other.name);
						}
					}

					host.node.updateMembers(createView(host));
				});
			});
		}
	}

	function addHost(name: string): Host {
		const ended: EndedHost = {
			name,
			incarnation: 0,
			isAlive: true,
			side: 0,
			suspendedUntil: 0,
			suspectedUntil: 0,
			known: new Map(),
		};
		const host = Object.assign(ended, {node: startNode(ended)});
		hosts.set(name, host);
		hostList.push(host);
		return host;
	}

	function getHost(index: number): Host {
		return hostList[index % hostList.length]!;
	}

	function endHost(host: Host): void {
		host.isAlive = false;
		host.incarnation++;
		host.node.stop();
	}

	for (let index = 0; index < options.nodes; index++) {
		addHost(`node-${index}`);
	}

	for (const host of hosts.values()) {
		for (const other of hosts.keys()) {
			if (other !== host.name) {
				host.known.set(other, 'alive');
			}
		}

		host.node.updateMembers(createView(host));
	}

	return {
		scheduler,
		countHosts: () => hosts.size,
		/** Returns a host by its index; an index beyond the last one wraps around. */
		getHost: (index: number): QuotaHost => getHost(index),
		readMessages: () => messages,
		setLoss(ratio: number): void {
			lossRatio = ratio;
		},
		/** Cuts the first nodes off from the others. */
		cut(count: number): void {
			for (const [index, host] of [...hosts.values()].entries()) {
				host.side = index < count ? 1 : 0;
			}

			detect();
		},
		kill(index: number): void {
			const host = getHost(index);
			if (host.isAlive) {
				endHost(host);
				detect();
			}
		},
		/** Ends a node and starts it at once with what it knew of the members. */
		restart(index: number): void {
			const host = getHost(index);
			if (host.isAlive) {
				endHost(host);
			}

			host.isAlive = true;
			host.node = startNode(host);
			host.node.updateMembers(createView(host));
			detect();
		},
		/** Starts another node, which knows the others. */
		addNode(): void {
			const host = addHost(`node-${hosts.size}`);
			for (const other of hosts.values()) {
				if (other !== host && other.isAlive && other.side === host.side) {
					host.known.set(other.name, 'alive');
				}
			}

			host.node.updateMembers(createView(host));
			detect();
		},
		suspend(index: number, durationMs: number): void {
			const host = getHost(index);
			host.suspendedUntil = now() + durationMs;
			detect();
			scheduler.schedule(durationMs, () => {
				// A node that resumes tells the others itself.
				detect(Math.min(detectionMs, msPerSecond));
			});
		},
		/** Lets the others suspect a node that answers, until it has told them that it is alive. */
		suspect(index: number, durationMs: number): void {
			const host = getHost(index);
			host.suspectedUntil = now() + durationMs;
			detect(0);
			scheduler.schedule(durationMs, () => {
				detect(0);
			});
		},
		/** Gives all nodes another version of the tenants within a second. */
		setTenants(next: readonly DocumentTenant[]): void {
			tenants = next;
			for (const host of hosts.values()) {
				scheduler.schedule(msPerSecond * random(), () => {
					runOn(host, () => {
						host.node.updateTenants(next);
					});
				});
			}
		},
	};
}
