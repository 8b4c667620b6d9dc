/**
 * Shares the slots of an upstream on the gate's host among teams.
 */
import {
	computeOpenSlots,
	type TeamActivity,
} from '../../coordination/compute-open-slots.js';
import {pickNextTeam} from '../../coordination/pick-next-team.js';
import {readTeamUse} from '../../coordination/read-team-use.js';
import {stepTeamUse} from '../../coordination/step-team-use.js';
import {
	removeFromLocalQueue,
	readOccupiedSlots,
	type Job,
	type LocalUpstream,
} from './local-upstream.js';

const minTrackedUse = 0.1;

function readTeamActivity(
	upstream: LocalUpstream,
	now: number,
): ReadonlyMap<string, TeamActivity> {
	return new Map(
		[...upstream.teamUses].map(([team, use]) => [
			team,
			{
				use: readTeamUse(use, now),
				inFlight: upstream.running.get(team) ?? 0,
			},
		]),
	);
}

/**
 * Computes how many slots of an upstream may be in use for a team to still get one.
 *
 * @param upstream - the upstream
 * @param team - the team
 * @param now - monotonic ms
 * @returns the number of slots
 */
export function computeLocalOpenSlots(
	upstream: LocalUpstream,
	team: string,
	now: number,
): number {
	const {slots} = upstream.announcement;
	return upstream.teamUses.size < 2
		? slots
		: computeOpenSlots(slots, readTeamActivity(upstream, now), team);
}

/**
 * Finds the first of a team's queued jobs that may start. While a suspect runs,
 * no other suspect starts, so that a crash tells which of them is to blame.
 */
function findNextJob(
	jobs: readonly Job[] | undefined,
	{sent}: LocalUpstream,
): Job | undefined {
	const job = jobs?.[0];
	const mustWait = job?.isSuspect && [...sent].some(({isSuspect}) => isSuspect);
	return mustWait ? jobs!.find(({isSuspect}) => !isSuspect) : job;
}

/** Finds the first job of the team that gets the next slot. */
function findFairJob(
	upstream: LocalUpstream,
	occupiedSlots: number,
	now: number,
): Job | undefined {
	const {queued, teamUses, announcement} = upstream;
	if (queued.size === 1 && teamUses.size < 2) {
		// No other team waits, and none has a part of the slots left free for it.
		const [jobs] = queued.values();
		return findNextJob(jobs, upstream);
	}

	const startTags = new Map<string, number>();
	for (const [name, jobs] of queued) {
		const next = findNextJob(jobs, upstream);
		if (next) {
			startTags.set(name, next.startTag);
		}
	}

	const team = pickNextTeam({
		slots: announcement.slots,
		inFlight: occupiedSlots,
		startTags,
		teams: readTeamActivity(upstream, now),
	});
	return team === undefined
		? undefined
		: findNextJob(queued.get(team), upstream);
}

/**
 * Takes the next job from the queue if there is a slot for it.
 *
 * Removes the job from the queue, occupies the slot and records its team's use.
 *
 * @param upstream - the upstream
 * @param now - monotonic ms
 * @returns the job, or undefined if no job may take a slot
 */
export function takeNextJob(
	upstream: LocalUpstream,
	now: number,
): Job | undefined {
	const {slots} = upstream.announcement;
	const occupiedSlots = readOccupiedSlots(upstream, now);
	if (upstream.queuedCount === 0 || occupiedSlots >= slots) {
		return undefined;
	}

	const job = findFairJob(upstream, occupiedSlots, now);
	if (job) {
		removeFromLocalQueue(job);
		upstream.fairQueue.serve(job.startTag);
		upstream.sent.add(job);
		updateRunningCount(upstream, job.attempt.team, 1);
		recordTeamUse(upstream, job.attempt.team, now);
	}

	return job;
}

/**
 * Releases the slot of a job, unless it is released already.
 *
 * @param job - the job
 */
export function releaseSlot(job: Job): void {
	const {upstream, attempt} = job;
	if (upstream.sent.delete(job)) {
		updateRunningCount(upstream, attempt.team, -1);
	}
}

function updateRunningCount(
	upstream: LocalUpstream,
	team: string,
	change: 1 | -1,
): void {
	const count = (upstream.running.get(team) ?? 0) + change;
	upstream.inFlight += change;
	if (count === 0) {
		upstream.running.delete(team);
	} else {
		upstream.running.set(team, count);
	}
}

function recordTeamUse(
	upstream: LocalUpstream,
	team: string,
	now: number,
): void {
	const {teamUses} = upstream;
	teamUses.set(team, stepTeamUse(teamUses.get(team), now));
	if (teamUses.size === 1) {
		// This team has just used a slot.
		return;
	}

	for (const [name, use] of teamUses) {
		if (readTeamUse(use, now) < minTrackedUse) {
			teamUses.delete(name);
		}
	}
}
