import type {FleetNode} from '../../harness/create-members-fleet.js';
import {findMember} from '../../src/state/find-member.js';
import {listMembers} from '../../src/state/list-members.js';
import {
	benchAnnouncement,
	createMembersBenchFleet,
	type MembersBenchFleet,
} from './create-members-bench-fleet.js';

/** What was measured with one number of members in one data centre. */
export type MembersSize = {
	readonly members: number;
	readonly quietBytesPerSecond: number;
	readonly quietMessagesPerSecond: number;
	readonly quietCpuMsPerSecond: number;
	readonly bytesPerChange: number;
	readonly cpuMsPerChange: number;
	readonly leaveKnownMs: number;
	readonly newUpstreamKnownMs: number;
	readonly deathKnownMs: number;
};

/** The return of four fifths of a data centre. */
export type HerdReturn = {
	readonly members: number;
	readonly returnMs: number;
	readonly peakPlatformCallsPerSecond: number;
	readonly peakBytesPerNodePerSecond: number;
};

type Usage = {
	readonly bytesPerSecond: number;
	readonly messagesPerSecond: number;
	readonly cpuMsPerSecond: number;
};

const warmUpMs = 5000;
const measuredMs = 20_000;
const churnPeriodMs = 1000;
const sampleMs = 20;
const longestWaitMs = 60_000;
const herdDownMs = 10_000;
const herdSpreadMs = 2000;

/** Runs a fleet for a while and returns the mean use of some of its nodes. */
export function measureUsage(
	{scheduler, fleet}: MembersBenchFleet,
	nodes: readonly FleetNode[],
	durationMs: number,
): Usage {
	const cpuBefore = fleet.readCpuMs();
	for (const node of nodes) {
		node.bytes = 0;
		node.messages = 0;
	}

	scheduler.runUntil(scheduler.now() + durationMs);
	const share = nodes.length * (durationMs / 1000);
	const sum = (read: (node: FleetNode) => number) =>
		nodes.reduce((total, node) => total + read(node), 0);
	return {
		bytesPerSecond: sum(({bytes}) => bytes) / share,
		messagesPerSecond: sum(({messages}) => messages) / share,
		cpuMsPerSecond:
			(fleet.readCpuMs() - cpuBefore) /
			(fleet.nodes.size * (durationMs / 1000)),
	};
}

function waitUntil(
	{scheduler, fleet}: MembersBenchFleet,
	isKnown: (node: FleetNode) => boolean,
): number {
	const startedMs = scheduler.now();
	while (scheduler.now() - startedMs < longestWaitMs) {
		if (fleet.listRunning().every((node) => isKnown(node))) {
			break;
		}

		scheduler.runUntil(scheduler.now() + sampleMs);
	}

	return Math.round(scheduler.now() - startedMs);
}

function waitForSelf(bench: MembersBenchFleet, changed: FleetNode): number {
	return waitUntil(
		bench,
		(node) =>
			node === changed ||
			findMember(node.state.table, changed.name)?.sequence ===
				changed.state.self.sequence,
	);
}

/**
 * Measures a data centre of a size: its use when quiet and under changes, and
 * how long a leave, a death and a new upstream take to be known by all.
 *
 * @param members - number of members
 * @param headerBytes - bytes of HTTP headers of a call and its answer
 * @param seed - seed of the scheduler
 * @returns the figures, bytes and messages both sent and received
 * @example
 * measureMembersSize(50, 600, 1).quietBytesPerSecond;
 */
export function measureMembersSize(
	members: number,
	headerBytes: number,
	seed: number,
): MembersSize {
	const bench = createMembersBenchFleet(1, members, headerBytes, seed);
	const {scheduler, fleet, nodes} = bench;
	scheduler.runUntil(warmUpMs);
	const quiet = measureUsage(bench, nodes, measuredMs);
	for (let atMs = 0; atMs < measuredMs; atMs += churnPeriodMs) {
		scheduler.schedule(atMs, () => {
			const node = nodes[Math.floor(scheduler.random() * nodes.length)]!;
			const id = `${node.name}-pricebook`;
			const {incarnation = 0} = node.upstreams.get(id)!;
			fleet.announce(node, id, {
				...benchAnnouncement,
				incarnation: incarnation + 1,
			});
		});
	}

	const churn = measureUsage(bench, nodes, measuredMs);
	const [leaving, arriving, dying] = nodes;
	fleet.announce(leaving!, `${leaving!.name}-pricebook`, {
		...benchAnnouncement,
		incarnation: 1000,
		state: 'leaving',
	});
	const leaveKnownMs = waitForSelf(bench, leaving!);
	fleet.announce(arriving!, 'new', benchAnnouncement);
	const newUpstreamKnownMs = waitForSelf(bench, arriving!);
	fleet.kill(dying!);
	const deathKnownMs = waitUntil(
		bench,
		({state}) => findMember(state.table, dying!.name)?.state === 'dead',
	);
	const changesPerSecond = 1000 / churnPeriodMs;
	return {
		members,
		quietBytesPerSecond: quiet.bytesPerSecond,
		quietMessagesPerSecond: quiet.messagesPerSecond,
		quietCpuMsPerSecond: quiet.cpuMsPerSecond,
		bytesPerChange:
			(churn.bytesPerSecond - quiet.bytesPerSecond) / changesPerSecond,
		cpuMsPerChange:
			(churn.cpuMsPerSecond - quiet.cpuMsPerSecond) / changesPerSecond,
		leaveKnownMs,
		newUpstreamKnownMs,
		deathKnownMs,
	};
}

/**
 * Measures the return of four fifths of a data centre that died together.
 *
 * @param members - number of members
 * @param headerBytes - bytes of HTTP headers of a call and its answer
 * @param seed - seed of the scheduler
 * @returns time from the last start until all views are complete, and peaks
 * @example
 * measureHerdReturn(50, 600, 1).returnMs;
 */
export function measureHerdReturn(
	members: number,
	headerBytes: number,
	seed: number,
): HerdReturn {
	const bench = createMembersBenchFleet(1, members, headerBytes, seed);
	const {scheduler, fleet, nodes} = bench;
	scheduler.runUntil(warmUpMs);
	const herd = nodes.slice(0, Math.round((members * 4) / 5));
	for (const node of herd) {
		fleet.kill(node);
		const delayMs = herdDownMs + scheduler.random() * herdSpreadMs;
		scheduler.schedule(delayMs, () => {
			const started = fleet.start(node.name, 'dc-0', [], node.address);
			fleet.announce(started, `${node.name}-pricebook`, benchAnnouncement);
		});
	}

	scheduler.runUntil(warmUpMs + herdDownMs + herdSpreadMs);
	const startedMs = scheduler.now();
	let peakBytes = 0;
	while (scheduler.now() - startedMs < 2 * longestWaitMs) {
		const running = fleet.listRunning();
		const usage = measureUsage(bench, running, 1000);
		peakBytes = Math.max(peakBytes, usage.bytesPerSecond);
		const isComplete = running.every(
			({state}) =>
				listMembers(state.table).filter((member) => member.state === 'alive')
					.length ===
				members - 1,
		);
		if (isComplete) {
			break;
		}
	}

	return {
		members,
		returnMs: scheduler.now() - startedMs,
		peakPlatformCallsPerSecond: fleet.platform.readPeakCallsPerSecond(),
		peakBytesPerNodePerSecond: peakBytes,
	};
}
