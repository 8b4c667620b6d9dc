import {
	createMembersFleet,
	type FleetNode,
	type MembersFleet,
} from '../../harness/create-members-fleet.js';
import {
	createScheduler,
	type Scheduler,
} from '../../harness/create-scheduler.js';
import {maxSeeds} from '../../src/protocol/constants.js';
import type {Announcement} from '../../src/protocol/member.js';
import {putMembers} from '../../src/state/put-members.js';

/** A fleet that starts with complete views, on its own scheduler. */
export type MembersBenchFleet = {
	readonly scheduler: Scheduler;
	readonly fleet: MembersFleet;
	readonly nodes: readonly FleetNode[];
};

/** The announcement of every upstream of the benchmark. */
export const benchAnnouncement: Announcement = {
	team: 'kitchens',
	service: 'pricebook',
	address: '10.0.0.1:9000',
	slots: 6,
	connections: 110,
	state: 'ready',
};

/**
 * Creates a fleet whose nodes know each other already.
 *
 * @param dataCentres - number of data centres
 * @param hosts - hosts of each
 * @param headerBytes - bytes of HTTP headers of a call and its answer
 * @param seed - seed of the scheduler
 * @returns the fleet, at time 0
 * @example
 * createMembersBenchFleet(1, 50, 600, 1).nodes.length; // 50
 */
export function createMembersBenchFleet(
	dataCentres: number,
	hosts: number,
	headerBytes: number,
	seed: number,
): MembersBenchFleet {
	const scheduler = createScheduler(seed);
	const fleet = createMembersFleet(scheduler, {
		headerBytes,
		readCpuMs: () => performance.now(),
	});
	const nodes: FleetNode[] = [];
	for (let dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
		for (let host = 0; host < hosts; host++) {
			const name = `dc-${dataCentre}-host-${host}`;
			const node = fleet.start(name, `dc-${dataCentre}`);
			fleet.announce(node, `${name}-pricebook`, benchAnnouncement);
			nodes.push(node);
		}

		const members = nodes.slice(-hosts);
		fleet.platform.put(`dc-${dataCentre}`, {
			addresses: members.slice(0, maxSeeds).map(({address}) => address),
			memberCount: hosts,
			writtenMs: 0,
			version: 1,
		});
	}

	const all = putMembers(
		new Map(),
		nodes.map(({state}) => state.self),
	);
	for (const node of nodes) {
		node.state = {
			...node.state,
			role: 'member',
			table: putMembers(all, [], [node.name]),
			pendingUpdates: new Map(),
			pendingSpread: new Set(),
			pendingRelays: new Set(),
			isSpreadScheduled: false,
		};
	}

	return {scheduler, fleet, nodes};
}
