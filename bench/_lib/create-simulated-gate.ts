import type {Scheduler} from '../../harness/create-scheduler.js';
import {
	computeOpenSlots,
	type TeamActivity,
} from '../../src/coordination/compute-open-slots.js';
import {createFairQueue} from '../../src/coordination/create-fair-queue.js';
import {decideAdmission} from '../../src/coordination/decide-admission.js';
import {pickNextTeam} from '../../src/coordination/pick-next-team.js';
import {readServiceTime} from '../../src/coordination/read-service-time.js';
import {readTeamUse} from '../../src/coordination/read-team-use.js';
import {
	stepServiceTime,
	type ServiceTime,
} from '../../src/coordination/step-service-time.js';
import {
	stepTeamUse,
	type TeamUse,
} from '../../src/coordination/step-team-use.js';
import type {GateLoad} from '../../src/protocol/attempt.js';
import {queueSlotsRatio} from '../../src/protocol/constants.js';

/** How the upstream behind a simulated gate behaves. */
export type HostBehaviour = 'healthy' | 'slow' | 'lying' | 'flapping';

/** Options of `createSimulatedGate`. */
export type SimulatedGateOptions = {
	readonly scheduler: Scheduler;
	readonly slots: number;
	/** Mean of the service time, ms. */
	readonly serviceMs: number;
	/** Distribution of the service time; exponential when absent. */
	readonly serviceTimes?: 'exponential' | 'fixed';
	readonly behaviour: HostBehaviour;
	/** Whether the product's admission and fair order are used. */
	readonly hasAdmission: boolean;
};

/** How an attempt ended at a simulated gate. */
export type SimulatedResult = {
	readonly kind: 'answered' | 'failed' | 'refused';
	readonly load: GateLoad;
};

/** A gate with its upstream in virtual time. */
export type SimulatedGate = {
	run(
		team: string,
		deadlineAt: number,
		answer: (result: SimulatedResult) => void,
	): void;
	/** Reads the attempts that have run in a slot so far. */
	readRuns(): number;
};

type Job = {
	readonly team: string;
	readonly deadlineAt: number;
	readonly startTag: number;
	readonly answer: (result: SimulatedResult) => void;
};

const slowFactor = 10;
const lyingFactor = 3;
const flapMs = 1000;
const failureMs = 0.2;

/**
 * Creates a gate in virtual time round the product's decisions.
 *
 * @param options - see `SimulatedGateOptions`
 * @returns the gate
 * @example
 * createSimulatedGate(options).run('a', 100, ({kind}) => console.log(kind));
 */
export function createSimulatedGate(
	options: SimulatedGateOptions,
): SimulatedGate {
	const {scheduler, slots, serviceMs, behaviour, hasAdmission} = options;
	const {serviceTimes = 'exponential'} = options;
	const {now, random} = scheduler;
	const fairQueue = createFairQueue();
	const teamUses = new Map<string, TeamUse>();
	const running = new Map<string, number>();
	let queue: Job[] = [];
	let serviceTime: ServiceTime | undefined;
	let inFlight = 0;
	let runs = 0;

	function readLoad(): GateLoad {
		return behaviour === 'lying'
			? {inFlight: 0, queued: 0, slots}
			: {inFlight, queued: queue.length, slots};
	}

	function isDown(): boolean {
		return behaviour === 'flapping' && Math.floor(now() / flapMs) % 2 === 1;
	}

	function drawServiceMs(): number {
		if (isDown()) {
			return failureMs;
		}

		const factor = serviceTimes === 'fixed' ? 1 : -Math.log(1 - random());
		const mean = factor * serviceMs;
		const factors = {slow: slowFactor, lying: lyingFactor};
		return behaviour === 'slow' || behaviour === 'lying'
			? mean * factors[behaviour]
			: mean;
	}

	function readTeams(): ReadonlyMap<string, TeamActivity> {
		return new Map(
			[...teamUses].map(([team, use]) => [
				team,
				{
					use: readTeamUse(use, now()),
					inFlight: running.get(team) ?? 0,
				},
			]),
		);
	}

	function countRunning(team: string, change: 1 | -1): void {
		inFlight += change;
		running.set(team, (running.get(team) ?? 0) + change);
	}

	function takeFair(): Job | undefined {
		const startTags = new Map(
			queue.toReversed().map(({team, startTag}) => [team, startTag]),
		);
		const teams = readTeams();
		const team = pickNextTeam({slots, inFlight, startTags, teams});
		const index = queue.findIndex((job) => job.team === team);
		return index === -1 ? undefined : queue.splice(index, 1)[0];
	}

	function takeNext(): Job | undefined {
		if (hasAdmission) {
			return takeFair();
		}

		return inFlight < slots ? queue.shift() : undefined;
	}

	function startNext(): void {
		for (let job = takeNext(); job; job = takeNext()) {
			if (hasAdmission && job.deadlineAt <= now()) {
				job.answer({kind: 'refused', load: readLoad()});
				continue;
			}

			fairQueue.serve(job.startTag);
			teamUses.set(job.team, stepTeamUse(teamUses.get(job.team), now()));
			startJob(job);
		}

		if (inFlight === 0 && queue.length === 0) {
			fairQueue.reset();
		}
	}

	function startJob(job: Job): void {
		const startedAt = now();
		const kind = isDown() ? 'failed' : 'answered';
		countRunning(job.team, 1);
		runs++;
		scheduler.schedule(drawServiceMs(), () => {
			countRunning(job.team, -1);
			serviceTime = stepServiceTime(serviceTime, now() - startedAt, now());
			job.answer({kind, load: readLoad()});
			startNext();
		});
	}

	function isAdmitted(team: string, deadlineAt: number): boolean {
		const counts = new Map<string, number>();
		for (const job of queue) {
			counts.set(job.team, (counts.get(job.team) ?? 0) + 1);
		}

		const own = counts.get(team) ?? 0;
		const queuedAhead = [...counts.values()].reduce(
			(sum, count) => sum + Math.min(count, own + 1),
			0,
		);
		const openSlots = computeOpenSlots(slots, readTeams(), team);
		const serviceMs = readServiceTime(serviceTime, now());
		const waitMs = ((queuedAhead + 1) / openSlots) * serviceMs;
		const admission = decideAdmission({
			state: 'ready',
			remainingMs: deadlineAt - now(),
			slots: openSlots,
			inFlight,
			queuedAhead,
			queued: queue.length,
			teamQueued: own,
			maxTeamQueued: Math.max(0, ...counts.values()),
			maxQueued: slots * queueSlotsRatio,
			serviceMs,
			meanServiceMs: serviceMs,
			waitMs,
			lateWaitMs: waitMs,
			objectiveMs: deadlineAt - now(),
			utilization: 0,
		});
		if (admission.kind === 'admit' && admission.shouldEvict) {
			pushOutLongest(counts);
		}

		return admission.kind === 'admit';
	}

	function pushOutLongest(counts: ReadonlyMap<string, number>): void {
		const longest = Math.max(...counts.values());
		const team = [...counts].find(([, count]) => count === longest)?.[0];
		const victim = queue.findLast((job) => job.team === team);
		queue = queue.filter((job) => job !== victim);
		victim?.answer({kind: 'refused', load: readLoad()});
	}

	return {
		run(team, deadlineAt, answer) {
			if (hasAdmission && !isAdmitted(team, deadlineAt)) {
				answer({kind: 'refused', load: readLoad()});
				return;
			}

			const startTag = fairQueue.enter(team);
			queue.push({team, deadlineAt, startTag, answer});
			startNext();
		},
		readRuns: () => runs,
	};
}
