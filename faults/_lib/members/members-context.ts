/**
 * Type of what the faults of members act on.
 */
import type {
	FleetNode,
	MembersFleet,
} from '../../../harness/create-members-fleet.js';
import type {Scheduler} from '../../../harness/create-scheduler.js';
import type {Announcement} from '../../../src/protocol/member.js';

/** What the network does at the moment. */
export type NetworkState = {
	/** Each tells whether packets from one node to another are lost. */
	readonly cuts: Set<(from: FleetNode, to: FleetNode) => boolean>;
	/** Whether requests are duplicated, delayed and so reordered. */
	isReordering: boolean;
	/** Until when views may be behind because of the network, ms. */
	faultsEndAtMs: number;
};

/** What the faults of members act on. */
export type MembersContext = {
	readonly scheduler: Scheduler;
	readonly fleet: MembersFleet;
	readonly network: NetworkState;
	/** How long a data centre stays cut off, ms. */
	readonly cutMs: number;
	/** When the last fault ends, ms. */
	faultsEndAtMs: number;
};

/** Creates the announcement of a host's upstream. */
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

/** Names the upstream of a host. */
export function createUpstreamId(node: FleetNode): string {
	return `${node.name}-pricebook`;
}

/** Picks a running node that has an upstream to lose. */
export function pickNode(context: MembersContext): FleetNode {
	const running = context.fleet
		.listRunning()
		.filter(
			({upstreams, state}) => upstreams.size > 0 && state.role !== 'refused',
		);
	const {random} = context.scheduler;
	return running[Math.floor(random() * running.length)]!;
}

/** Starts a host with its upstream. */
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

/** Notes that a fault lasts until a time. */
export function recordFaultEnd(context: MembersContext, endMs: number): void {
	context.faultsEndAtMs = Math.max(context.faultsEndAtMs, endMs);
}

/** Notes that the network lets views fall behind until a time. */
export function recordNetworkFaultEnd(
	context: MembersContext,
	endMs: number,
): void {
	const {network} = context;
	network.faultsEndAtMs = Math.max(network.faultsEndAtMs, endMs);
	recordFaultEnd(context, endMs);
}
