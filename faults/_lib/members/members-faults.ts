/**
 * The faults that the membership matrix applies to a fleet.
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

/** Names of the membership faults. */
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

const minRestartDelayMs = 10_000;
const restartDelayRangeMs = 2000;
const freezeMs = 8000;
const cutNodeMs = 20_000;
const splitMs = 30_000;
const platformDownMs = 40_000;
const flapIntervalMs = 300;
const flapCount = 20;

function killMostNodes(context: MembersContext): void {
	const {fleet, scheduler} = context;
	const running = fleet.listRunning();
	const count = Math.round((running.length * 4) / 5);
	const victims = running
		.map((node) => ({node, weight: scheduler.random()}))
		.toSorted((a, b) => a.weight - b.weight)
		.slice(0, count);
	for (const {node} of victims) {
		fleet.kill(node);
		const delayMs =
			minRestartDelayMs + scheduler.random() * restartDelayRangeMs;
		scheduler.schedule(delayMs, () => {
			startMember(context, node.name, node.address);
		});
	}

	recordFaultEnd(
		context,
		scheduler.now() + minRestartDelayMs + restartDelayRangeMs,
	);
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

function addCut(
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
	addCut(
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
	addCut(context, (from, to) => from === node && isInHalf(to), cutNodeMs);
}

function cutDataCentre(context: MembersContext): void {
	const {dataCentre} = pickNode(context);
	addCut(
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
	scheduler.schedule(platformDownMs, () => {
		fleet.platform.setDown(false);
	});
	recordFaultEnd(context, scheduler.now() + platformDownMs);
}

function flapUpstream(context: MembersContext): void {
	const {fleet, scheduler} = context;
	const node = pickNode(context);
	const id = createUpstreamId(node);
	for (let index = 0; index <= flapCount; index++) {
		scheduler.schedule(index * flapIntervalMs, () => {
			const state = index % 2 === 0 ? 'leaving' : 'ready';
			const incarnation = Math.floor(scheduler.now());
			fleet.announce(node, id, createAnnouncement({state, incarnation}));
		});
	}

	recordFaultEnd(context, scheduler.now() + flapCount * flapIntervalMs);
}

function reorderAnnouncements(context: MembersContext): void {
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

function reorderMessages(context: MembersContext): void {
	const {network, scheduler} = context;
	network.isReordering = true;
	scheduler.schedule(cutNodeMs, () => {
		network.isReordering = false;
	});
	recordNetworkFaultEnd(context, scheduler.now() + cutNodeMs);
}

/** Starts a fault at the current time. */
export function startFault(context: MembersContext, fault: MembersFault): void {
	switch (fault) {
		case 'kill': {
			context.fleet.kill(pickNode(context));
			recordFaultEnd(context, context.scheduler.now());
			break;
		}

		case 'mass-kill': {
			killMostNodes(context);
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
			killMostNodes(context);
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
			reorderAnnouncements(context);
			break;
		}

		case 'reordered-messages': {
			reorderMessages(context);
			break;
		}
	}
}
