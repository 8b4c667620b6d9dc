import {
	createMembersFleet,
	type Delivery,
	type FleetNode,
} from '../../../harness/create-members-fleet.js';
import {createScheduler} from '../../../harness/create-scheduler.js';
import {
	seedsWriteIntervalMs,
	upstreamLeaseMs,
} from '../../../src/protocol/constants.js';
import type {Exchange} from '../../../src/protocol/member.js';
import type {stepMembers} from '../../../src/coordination/step-members.js';
import {
	checkCandidates,
	checkFalseSuspicions,
	checkSettled,
	hasReadyUpstream,
	settleMs,
	type Absence,
} from './check-members.js';
import {
	createAnnouncement,
	createUpstreamId,
	pickNode,
	startMember,
	type MembersContext,
	type NetworkState,
} from './members-context.js';
import {startFault, type MembersFault} from './members-faults.js';

/** Steps of the fleet's lifecycle at which faults are applied. */
export const membersSteps = [
	'first-start',
	'steady-state',
	'join',
	'upstream-leaves',
	'node-leaves',
	'suspicion',
] as const;

export type MembersStepName = (typeof membersSteps)[number];

/** Options of `runMembersCase`. */
export type MembersCaseOptions = {
	readonly step?: typeof stepMembers;
	/** Duration for which a data centre is cut off, ms. */
	readonly cutMs?: number;
	/** Names of the data centres, one letter each. */
	readonly dataCentres?: readonly string[];
};

const hostsPerDataCentre = 4;
const settledAtMs = 30_000;
const faultIntervalMs = 1500;
const sampleIntervalMs = 500;
const leaseSlackMs = 100;

function createDeliver(
	network: NetworkState,
	random: () => number,
): (from: FleetNode, to: FleetNode) => Delivery {
	const isCut = (from: FleetNode, to: FleetNode) =>
		[...network.cuts].some((cut) => cut(from, to));
	return (from, to) => {
		if (isCut(from, to)) {
			return {requestDelaysMs: [], isAnswered: false};
		}

		const isAnswered = !isCut(to, from);
		if (!network.isReordering || random() < 0.7) {
			return {requestDelaysMs: [1 + random()], isAnswered};
		}

		const copies = 1 + Math.floor(random() * 2);
		return {
			requestDelaysMs: Array.from({length: copies}, () => random() * 3000),
			isAnswered,
		};
	};
}

function prepareStep(context: MembersContext, step: MembersStepName): number {
	const {fleet, scheduler} = context;
	switch (step) {
		case 'first-start': {
			return 2000;
		}

		case 'steady-state': {
			return settledAtMs;
		}

		case 'join': {
			scheduler.schedule(settledAtMs, () => {
				startMember(context, 'a-late');
			});
			return settledAtMs + 1100;
		}

		case 'upstream-leaves': {
			scheduler.schedule(settledAtMs, () => {
				const node = pickNode(context);
				const id = createUpstreamId(node);
				const announcement = node.upstreams.get(id) ?? createAnnouncement();
				fleet.announce(node, id, {...announcement, state: 'leaving'});
			});
			return settledAtMs + 10;
		}

		case 'node-leaves': {
			scheduler.schedule(settledAtMs, () => {
				const node = pickNode(context);
				fleet.tell(node, {kind: 'leave'});
				scheduler.schedule(2000, () => {
					fleet.kill(node);
				});
			});
			return settledAtMs + 10;
		}

		case 'suspicion': {
			scheduler.schedule(settledAtMs, () => {
				fleet.kill(pickNode(context));
			});
			return settledAtMs + 4000;
		}
	}
}

/** Records which hosts have lost their upstream since the last sample. */
function updateAbsences(
	context: MembersContext,
	absences: Map<string, Absence>,
): void {
	const {fleet, scheduler, network} = context;
	const nowMs = scheduler.now();
	const present = new Set(
		[...fleet.nodes.values()]
			.filter((node) => hasReadyUpstream(node))
			.map(({name}) => name),
	);
	for (const {name, condition} of fleet.nodes.values()) {
		const known = absences.get(name);
		if (present.has(name)) {
			absences.delete(name);
		} else if (nowMs < network.faultsEndAtMs + settleMs / 2) {
			absences.set(name, {sinceMs: nowMs, reason: 'died'});
		} else if (known === undefined) {
			const reason = condition === 'running' ? 'left' : 'died';
			absences.set(name, {sinceMs: nowMs, reason});
		} else if (
			condition !== 'running' &&
			nowMs - known.sinceMs <= faultIntervalMs
		) {
			absences.set(name, {...known, reason: 'died'});
		}
	}
}

function checkWrites(context: MembersContext): string[] {
	const {writes} = context.fleet.platform;
	return writes.flatMap(({dataCentre, atMs}, index) => {
		const next = writes
			.slice(index + 1)
			.find((write) => write.dataCentre === dataCentre);
		return next && next.atMs - atMs < seedsWriteIntervalMs - sampleIntervalMs
			? [`seeds of ${dataCentre} written twice within ${next.atMs - atMs} ms`]
			: [];
	});
}

/**
 * Runs one case of the membership matrix.
 *
 * @param faults - the faults, each 1.5 s after the one before
 * @param step - the step at which the first fault is applied
 * @param seed - seed of the random numbers and the order of events
 * @param options - see `MembersCaseOptions`
 * @returns one line for each violation; empty when all invariants hold
 * @example
 * runMembersCase(['kill'], 'steady-state', 1); // []
 */
export function runMembersCase(
	faults: readonly MembersFault[],
	step: MembersStepName,
	seed: number,
	options: MembersCaseOptions = {},
): readonly string[] {
	const {cutMs = 60_000, dataCentres = ['a', 'b', 'c']} = options;
	const scheduler = createScheduler(seed);
	const network: NetworkState = {
		cuts: new Set(),
		isReordering: false,
		faultsEndAtMs: 0,
	};
	const violations = new Set<string>();
	const renewals = new Map<string, number>();

	function checkSentLeases(from: FleetNode, request: Exchange): void {
		const records = request.kind === 'ping' ? request.records : [];
		const selfRecord = records.find(
			({name, incarnation}) =>
				name === from.name && incarnation === from.state.self.incarnation,
		);
		for (const {id, state} of selfRecord?.upstreams ?? []) {
			const renewedMs = renewals.get(`${from.address} ${id}`) ?? 0;
			const ageMs = scheduler.now() - renewedMs;
			if (state === 'ready' && ageMs > upstreamLeaseMs + leaseSlackMs) {
				violations.add(
					`${from.name} sends an upstream whose lease has expired`,
				);
			}
		}
	}

	const fleet = createMembersFleet(scheduler, {
		step: options.step,
		deliver: createDeliver(network, scheduler.random),
		onSend: checkSentLeases,
		onRenew(node, id, sentAtMs) {
			renewals.set(`${node.address} ${id}`, sentAtMs);
		},
	});
	const context: MembersContext = {
		scheduler,
		fleet,
		network,
		cutMs,
		faultsEndAtMs: 0,
	};
	for (const dataCentre of dataCentres) {
		for (let index = 0; index < hostsPerDataCentre; index++) {
			startMember(context, `${dataCentre}-${index}`);
		}
	}

	const firstFaultAtMs = prepareStep(context, step);
	for (const [index, fault] of faults.entries()) {
		scheduler.schedule(firstFaultAtMs + index * faultIntervalMs, () => {
			startFault(context, fault);
		});
	}

	const isPlatformOnly =
		step === 'steady-state' &&
		faults.every((fault) => fault === 'platform-down');
	const absences = new Map<string, Absence>();
	const firstEndMs = firstFaultAtMs + faults.length * faultIntervalMs;
	for (
		let nowMs = 0;
		nowMs < Math.max(context.faultsEndAtMs, firstEndMs) + settleMs;
		nowMs += sampleIntervalMs
	) {
		scheduler.runUntil(nowMs);
		updateAbsences(context, absences);
		const found = [
			...checkCandidates(fleet, absences, nowMs, context.faultsEndAtMs),
			...(isPlatformOnly ? checkFalseSuspicions(fleet) : []),
		];
		for (const violation of found) {
			violations.add(violation);
		}
	}

	return [...violations, ...checkSettled(fleet), ...checkWrites(context)];
}
