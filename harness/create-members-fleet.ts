import {Buffer} from 'node:buffer';
import {createMembersState} from '../src/coordination/create-members-state.js';
import type {
	MembersEffect,
	MembersMessage,
	MembersState,
} from '../src/coordination/members-state.js';
import {stepMembers} from '../src/coordination/step-members.js';
import {exchangeTimeoutMs, membersPeriodMs} from '../src/protocol/constants.js';
import type {Announcement, Exchange, Member} from '../src/protocol/member.js';
import {createMembersPlatform} from './create-members-platform.js';
import type {Scheduler} from './create-scheduler.js';

/** Wall-clock time at which every fleet starts, ms. */
export const fleetEpochMs = 1_700_000_000_000;

/** One node of a fleet, driven by the same decisions as the product's. */
export type FleetNode = {
	readonly name: string;
	readonly dataCentre: string;
	readonly address: string;
	state: MembersState;
	/** `frozen` keeps what arrives until it wakes. */
	condition: 'running' | 'frozen' | 'dead';
	/** Announcements that the host's upstreams renew. */
	readonly upstreams: Map<string, Announcement>;
	readonly inbox: Array<() => void>;
	bytes: number;
	messages: number;
	readonly logs: string[];
};

/** What the network does with one request. */
export type Delivery = {
	/** Delays after which copies of the request arrive, ms; none when lost. */
	readonly requestDelaysMs: readonly number[];
	/** Whether the answer arrives. */
	readonly isAnswered: boolean;
};

/** Options of `createMembersFleet`. */
export type MembersFleetOptions = {
	/** What a step does; the product's by default. */
	readonly step?: typeof stepMembers;
	/** What the network does; delivers after 1 ms by default. */
	readonly deliver?: (from: FleetNode, to: FleetNode) => Delivery;
	/** Sees each request sent. */
	readonly onSend?: (from: FleetNode, request: Exchange) => void;
	/** Sees each announcement handled, with the time at which it was sent. */
	readonly onRenew?: (node: FleetNode, id: string, sentAtMs: number) => void;
	/** Bytes of headers of a request and its answer; bytes uncounted without. */
	readonly headerBytes?: number;
	/** Adds up the time spent in steps, ms. */
	readonly readCpuMs?: () => number;
};

/** A fleet of nodes on a scheduler. */
export type MembersFleet = ReturnType<typeof createMembersFleet>;

const announcePeriodMs = 1000;

function createSelf(
	name: string,
	dataCentre: string,
	address: string,
	wallMs: number,
): Member {
	return {
		name,
		dataCentre,
		address,
		incarnation: wallMs,
		sequence: 0,
		state: 'alive',
		upstreams: [],
	};
}

/**
 * Creates an empty fleet whose nodes run in this process on a scheduler.
 *
 * @param scheduler - owns the time and the random numbers
 * @param options - see `MembersFleetOptions`
 * @returns the fleet
 * @example
 * createMembersFleet(createScheduler(1)).start('a-1', 'a');
 */
export function createMembersFleet(
	scheduler: Scheduler,
	options: MembersFleetOptions = {},
) {
	const {step = stepMembers, headerBytes, onSend, onRenew, readCpuMs} = options;
	const {deliver = () => ({requestDelaysMs: [1], isAnswered: true})} = options;
	const nodes = new Map<string, FleetNode>();
	const platform = createMembersPlatform(scheduler);
	let cpuMs = 0;
	let addressCount = 0;

	function count(node: FleetNode, size: number): void {
		node.bytes += size;
		node.messages++;
	}

	function tell(
		node: FleetNode,
		message: MembersMessage,
	): readonly MembersEffect[] {
		const started = readCpuMs?.() ?? 0;
		const result = step(node.state, message, scheduler.now(), scheduler.random);
		cpuMs += (readCpuMs?.() ?? 0) - started;
		node.state = result.state;
		for (const effect of result.effects) {
			runEffect(node, effect);
		}

		return result.effects;
	}

	/** Runs an action on a node now, or when it wakes; never on a dead one. */
	function occur(node: FleetNode, action: () => void): void {
		if (node.condition === 'running') {
			action();
		} else if (node.condition === 'frozen') {
			node.inbox.push(action);
		}
	}

	function send(from: FleetNode, address: string, request: Exchange): void {
		onSend?.(from, request);
		const to = nodes.get(address);
		const size =
			headerBytes === undefined
				? 0
				: Buffer.byteLength(JSON.stringify(request)) + headerBytes / 2;
		count(from, size);
		let isSettled = false;
		const settle = (message: MembersMessage) => {
			if (!isSettled) {
				isSettled = true;
				occur(from, () => {
					tell(from, message);
				});
			}
		};

		scheduler.schedule(exchangeTimeoutMs, () => {
			settle({kind: 'failure', address, request});
		});
		const delivery = to && deliver(from, to);
		for (const delayMs of delivery?.requestDelaysMs ?? []) {
			scheduler.schedule(delayMs, () => {
				occur(to!, () => {
					count(to!, size);
					const effects = tell(to!, {kind: 'request', request});
					const effect = effects.find(({kind}) => kind === 'answer');
					if (effect?.kind !== 'answer' || !delivery!.isAnswered) {
						return;
					}

					const {answer} = effect;
					const answerSize =
						headerBytes === undefined
							? 0
							: Buffer.byteLength(JSON.stringify(answer)) + headerBytes / 2;
					count(to!, answerSize);
					scheduler.schedule(1, () => {
						count(from, answerSize);
						settle({kind: 'answer', address, request, answer});
					});
				});
			});
		}
	}

	function runEffect(node: FleetNode, effect: MembersEffect): void {
		switch (effect.kind) {
			case 'send': {
				send(node, effect.address, effect.request);
				break;
			}

			case 'schedule-spread': {
				scheduler.schedule(effect.delayMs, () => {
					occur(node, () => {
						tell(node, {kind: 'spread'});
					});
				});
				break;
			}

			case 'schedule-seek': {
				const {failures, delayMs} = effect;
				scheduler.schedule(delayMs, () => {
					occur(node, () => {
						tell(node, {kind: 'seek', failures});
					});
				});
				break;
			}

			case 'read-seeds': {
				platform.read(node.dataCentre, (outcome) => {
					occur(node, () => {
						tell(node, {kind: 'seeds', outcome});
					});
				});
				break;
			}

			case 'watch-seeds': {
				platform.watch(effect, (outcome) => {
					occur(node, () => {
						tell(node, {kind: 'seeds-watched', outcome});
					});
				});
				break;
			}

			case 'write-seeds': {
				platform.write(node.dataCentre, effect, scheduler.now() + fleetEpochMs);
				break;
			}

			case 'log': {
				node.logs.push(effect.text);
				break;
			}

			case 'answer':
			case 'announcement': {
				break;
			}
		}
	}

	/** Repeats an action each period, from a random part of the first one on. */
	function repeat(node: FleetNode, periodMs: number, action: () => void): void {
		const run = () => {
			if (node.condition !== 'dead') {
				action();
				scheduler.schedule(periodMs, run);
			}
		};

		scheduler.schedule(scheduler.random() * periodMs, run);
	}

	function renew(
		node: FleetNode,
		id: string,
		announcement: Announcement,
	): void {
		const sentAtMs = scheduler.now();
		occur(node, () => {
			tell(node, {kind: 'announce', id, announcement});
			onRenew?.(node, id, sentAtMs);
		});
	}

	return {
		nodes,
		platform,
		tell,
		readCpuMs: () => cpuMs,
		/** Starts a node, at a new address unless one is given. */
		start(
			name: string,
			dataCentre: string,
			seeds: readonly string[] = [],
			givenAddress?: string,
		): FleetNode {
			addressCount++;
			const address =
				givenAddress ??
				`10.${Math.floor(addressCount / 250)}.${addressCount % 250}.1:8081`;
			const now = scheduler.now();
			const self = createSelf(name, dataCentre, address, fleetEpochMs + now);
			const node: FleetNode = {
				name,
				dataCentre,
				address,
				state: createMembersState(self, now, scheduler.random(), {
					seeds,
					wallMs: fleetEpochMs + now,
				}),
				condition: 'running',
				upstreams: new Map(),
				inbox: [],
				bytes: 0,
				messages: 0,
				logs: [],
			};
			nodes.set(address, node);
			repeat(node, membersPeriodMs, () => {
				if (node.condition === 'running') {
					tell(node, {kind: 'tick'});
				}
			});
			repeat(node, announcePeriodMs, () => {
				for (const [id, announcement] of node.upstreams) {
					renew(node, id, announcement);
				}
			});
			return node;
		},
		/** Announces an upstream now and keeps renewing it. */
		announce(node: FleetNode, id: string, announcement: Announcement): void {
			node.upstreams.set(id, announcement);
			renew(node, id, announcement);
		},
		/** Delivers an announcement once that was sent before others. */
		announceLate(
			node: FleetNode,
			id: string,
			announcement: Announcement,
		): void {
			occur(node, () => {
				tell(node, {kind: 'announce', id, announcement});
			});
		},
		withdraw(node: FleetNode, id: string): void {
			node.upstreams.delete(id);
			occur(node, () => {
				tell(node, {kind: 'withdraw', id});
			});
		},
		kill(node: FleetNode): void {
			node.condition = 'dead';
		},
		freeze(node: FleetNode, durationMs: number): void {
			if (node.condition !== 'running') {
				return;
			}

			node.condition = 'frozen';
			scheduler.schedule(durationMs, () => {
				if (node.condition === 'frozen') {
					node.condition = 'running';
					for (const action of node.inbox.splice(0)) {
						action();
					}
				}
			});
		},
		listRunning(): FleetNode[] {
			return [...nodes.values()].filter(
				({condition}) => condition === 'running',
			);
		},
	};
}
