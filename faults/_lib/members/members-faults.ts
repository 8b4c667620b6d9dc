/**
 * The faults that the matrix of members inflicts on a fleet.
 */
import type {FleetNode} from '../../../harness/create-members-fleet.js';
import {
	createAnnouncement,
	recordNetworkFaultEnd,
	recordFaultEnd,
	createUpstreamId,
	pickNode,
	startMember,
	type MembersContext,
} from './members-context.js';

/** Names of the faults of members. */
export const membersFaults = [
	'kill',
	'mass-kill',
	'freeze',
	'replace',
	'one-way-cut',
	'split-data-centre',
	'data-centre-cut',
	'platform-down',
	'platform-down-during-restart',
	'flapping-upstream',
	'same-name',
	'reordered-announcements',
	'reordered-messages',
] as const;

export type MembersFault = (typeof membersFaults)[number];

const herdReturnMs = 10_000;
const herdSpreadMs = 2000;
const freezeMs = 8000;
const cutNodeMs = 20_000;
const splitMs = 30_000;
const platformOutMs = 40_000;
const flapMs = 300;
const flaps = 20;

function killHerd(context: MembersContext): void {
	const {fleet, scheduler} = context;
	const running = fleet.listRunning();
	const count = Math.round((running.length * 4) / 5);
	const herd = running
		.map((node) => ({node, weight: scheduler.random()}))
		.toSorted((a, b) => a.weight - b.weight)
		.slice(0, count);
	for (const {node} of herd) {
		fleet.kill(node);
		const delayMs = herdReturnMs + scheduler.random() * herdSpreadMs;
		scheduler.schedule(delayMs, () => {
			startMember(context, node.name, node.address);
		});
	}

	recordFaultEnd(context, scheduler.now() + herdReturnMs + herdSpreadMs);
}

function freezeNode(context: MembersContext): void {
	const {fleet, scheduler} = context;
	const node = pickNode(context);
	fleet.freeze(node, freezeMs);
	scheduler.schedule(1500, () => {
		node.upstreams.clear();
	});
	recordFaultEnd(context, scheduler.now() + freezeMs);
}

function replaceNode(context: MembersContext): void {
	const {fleet, scheduler} = context;
	const node = pickNode(context);
	const name = scheduler.random() < 0.5 ? node.name : `${node.name}-new`;
	fleet.kill(node);
	scheduler.schedule(500, () => {
		startMember(context, name, node.address);
	});
	recordFaultEnd(context, scheduler.now() + 500);
}

function setCut(
	context: MembersContext,
	isCut: (from: FleetNode, to: FleetNode) => boolean,
	durationMs: number,
): void {
	const {network, scheduler} = context;
	network.cuts.add(isCut);
	scheduler.schedule(durationMs, () => {
		network.cuts.delete(isCut);
	});
	recordNetworkFaultEnd(context, scheduler.now() + durationMs);
}

function isInHalf({name}: FleetNode): boolean {
	return name.codePointAt(2)! % 2 === 0;
}

function splitDataCentre(context: MembersContext): void {
	const {dataCentre} = pickNode(context);
	setCut(
		context,
		(from, to) =>
			from.dataCentre === dataCentre &&
			to.dataCentre === dataCentre &&
			isInHalf(from) !== isInHalf(to),
		splitMs,
	);
}

function cutOneWay(context: MembersContext): void {
	const node = pickNode(context);
	setCut(context, (from, to) => from === node && isInHalf(to), cutNodeMs);
}

function cutDataCentre(context: MembersContext): void {
	const {dataCentre} = pickNode(context);
	setCut(
		context,
		(from, to) =>
			from.dataCentre !== to.dataCentre &&
			(from.dataCentre === dataCentre || to.dataCentre === dataCentre),
		context.cutMs,
	);
}

function stopPlatform(context: MembersContext): void {
	const {fleet, scheduler} = context;
	fleet.platform.setDown(true);
	scheduler.schedule(platformOutMs, () => {
		fleet.platform.setDown(false);
	});
	recordFaultEnd(context, scheduler.now() + platformOutMs);
}

function flapUpstream(context: MembersContext): void {
	const {fleet, scheduler} = context;
	const node = pickNode(context);
	const id = createUpstreamId(node);
	for (let index = 0; index <= flaps; index++) {
		scheduler.schedule(index * flapMs, () => {
			const state = index % 2 === 0 ? 'leaving' : 'ready';
			const incarnation = Math.floor(scheduler.now());
			fleet.announce(node, id, createAnnouncement({state, incarnation}));
		});
	}

	recordFaultEnd(context, scheduler.now() + flaps * flapMs);
}

function crossAnnouncements(context: MembersContext): void {
	const {fleet, scheduler} = context;
	const node = pickNode(context);
	const id = createUpstreamId(node);
	const announcement = node.upstreams.get(id)!;
	fleet.announce(node, id, {...announcement, state: 'leaving'});
	for (const delayMs of [20, 200, 1200]) {
		scheduler.schedule(delayMs, () => {
			fleet.announceLate(node, id, announcement);
		});
	}

	scheduler.schedule(1000, () => {
		fleet.withdraw(node, id);
	});
	recordFaultEnd(context, scheduler.now() + 1200);
}

function disorderMessages(context: MembersContext): void {
	const {network, scheduler} = context;
	network.isReordering = true;
	scheduler.schedule(cutNodeMs, () => {
		network.isReordering = false;
	});
	recordNetworkFaultEnd(context, scheduler.now() + cutNodeMs);
}

/** Inflicts a fault on a fleet, now. */
export function startFault(context: MembersContext, fault: MembersFault): void {
	switch (fault) {
		case 'kill': {
			context.fleet.kill(pickNode(context));
			recordFaultEnd(context, context.scheduler.now());
			break;
		}

		case 'mass-kill': {
			killHerd(context);
			break;
		}

		case 'freeze': {
			freezeNode(context);
			break;
		}

		case 'replace': {
			replaceNode(context);
			break;
		}

		case 'one-way-cut': {
			cutOneWay(context);
			break;
		}

		case 'split-data-centre': {
			splitDataCentre(context);
			break;
		}

		case 'data-centre-cut': {
			cutDataCentre(context);
			break;
		}

		case 'platform-down': {
			stopPlatform(context);
			break;
		}

		case 'platform-down-during-restart': {
			stopPlatform(context);
			killHerd(context);
			break;
		}

		case 'flapping-upstream': {
			flapUpstream(context);
			break;
		}

		case 'same-name': {
			startMember(context, pickNode(context).name);
			recordFaultEnd(context, context.scheduler.now());
			break;
		}

		case 'reordered-announcements': {
			crossAnnouncements(context);
			break;
		}

		case 'reordered-messages': {
			disorderMessages(context);
			break;
		}
	}
}
