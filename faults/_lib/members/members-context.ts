/**
 * Types and helpers shared by the faults of the membership matrix.
 */
import type {
	FleetNode,
	MembersFleet,
} from '../../../harness/create-members-fleet.js';
import type {Scheduler} from '../../../harness/create-scheduler.js';
import type {Announcement} from '../../../src/protocol/member.js';

/** Current faults of the network. */
export type NetworkState = {
	/** Predicates: whether messages from one node to another are lost. */
	readonly cuts: Set<(from: FleetNode, to: FleetNode) => boolean>;
	/** Whether requests are duplicated and delayed, so that they reorder. */
	isReordering: boolean;
	/** Time until which network faults may keep views out of date, ms. */
	faultsEndAtMs: number;
};

/** The state of a case that faults act on. */
export type MembersContext = {
	readonly scheduler: Scheduler;
	readonly fleet: MembersFleet;
	readonly network: NetworkState;
	/** Duration for which a data centre is cut off, ms. */
	readonly cutMs: number;
	/** Time at which the last fault ends, ms. */
	faultsEndAtMs: number;
};

/** Creates an announcement of a host's upstream. */
export function createAnnouncement(
	change: Partial<Announcement> = {},
): Announcement {
	return {
		team: 'kitchens',
		service: 'pricebook',
		address: '10.0.0.1:9000',
		slots: 6,
		connections: 110,
		state: 'ready',
		...change,
	};
}

/** Creates the identifier of a host's upstream. */
export function createUpstreamId(node: FleetNode): string {
	return `${node.name}-pricebook`;
}

/** Picks a random running node that has an upstream. */
export function pickNode(context: MembersContext): FleetNode {
	const running = context.fleet
		.listRunning()
		.filter(
			({upstreams, state}) => upstreams.size > 0 && state.role !== 'refused',
		);
	const {random} = context.scheduler;
	return running[Math.floor(random() * running.length)]!;
}

/** Starts a host and announces its upstream. */
export function startMember(
	context: MembersContext,
	name: string,
	address?: string,
): FleetNode {
	const dataCentre = name.slice(0, 1);
	const node = context.fleet.start(name, dataCentre, [], address);
	context.fleet.announce(
		node,
		createUpstreamId(node),
		createAnnouncement({incarnation: Math.floor(context.scheduler.now())}),
	);
	return node;
}

/** Records that a fault lasts until a time. */
export function recordFaultEnd(context: MembersContext, endMs: number): void {
	context.faultsEndAtMs = Math.max(context.faultsEndAtMs, endMs);
}

/** Records that a network fault lasts until a time. */
export function recordNetworkFaultEnd(
	context: MembersContext,
	endMs: number,
): void {
	const {network} = context;
	network.faultsEndAtMs = Math.max(network.faultsEndAtMs, endMs);
	recordFaultEnd(context, endMs);
}
