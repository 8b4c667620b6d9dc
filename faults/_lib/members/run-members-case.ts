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

/** Steps of the fleet's work at which faults strike. */
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
	/** How long a data centre stays cut off, ms. */
	readonly cutMs?: number;
	/** Names of the data centres, one letter each. */
	readonly dataCentres?: readonly string[];
};

const hostsPerDataCentre = 4;
const settledAtMs = 30_000;
const secondFaultMs = 1500;
const sampleMs = 500;
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

/** Notes which hosts have lost their upstream since the last sample. */
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
			nowMs - known.sinceMs <= secondFaultMs
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
		return next && next.atMs - atMs < seedsWriteIntervalMs - sampleMs
			? [`seeds of ${dataCentre} written twice in ${next.atMs - atMs} ms`]
			: [];
	});
}

/**
 * Runs one case of the matrix of members.
 *
 * @param faults - the faults, the second 1.5 s after the first
 * @param step - the step at which the first strikes
 * @param seed - seed of the order of events
 * @param options - see `MembersCaseOptions`
 * @returns what broke an invariant
 * @example
 * runMembersCase(['kill'], 'quiet', 1); // []
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

	function checkSpeech(from: FleetNode, request: Exchange): void {
		const records = request.kind === 'ping' ? request.records : [];
		const own = records.find(
			({name, incarnation}) =>
				name === from.name && incarnation === from.state.self.incarnation,
		);
		for (const {id, state} of own?.upstreams ?? []) {
			const renewedMs = renewals.get(`${from.address} ${id}`) ?? 0;
			const ageMs = scheduler.now() - renewedMs;
			if (state === 'ready' && ageMs > upstreamLeaseMs + leaseSlackMs) {
				violations.add(`${from.name} speaks for a lapsed lease`);
			}
		}
	}

	const fleet = createMembersFleet(scheduler, {
		step: options.step,
		deliver: createDeliver(network, scheduler.random),
		onSend: checkSpeech,
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

	const strikesAtMs = prepareStep(context, step);
	for (const [index, fault] of faults.entries()) {
		scheduler.schedule(strikesAtMs + index * secondFaultMs, () => {
			startFault(context, fault);
		});
	}

	const isPlatformOnly =
		step === 'steady-state' &&
		faults.every((fault) => fault === 'platform-down');
	const absences = new Map<string, Absence>();
	const firstEndMs = strikesAtMs + faults.length * secondFaultMs;
	for (
		let nowMs = 0;
		nowMs < Math.max(context.faultsEndAtMs, firstEndMs) + settleMs;
		nowMs += sampleMs
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
