/**
 * Shares the slots of an upstream on the gate's host between teams.
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

const forgottenUse = 0.1;

function readTeams(
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
 * Computes how many slots of an upstream may be in use for a team to take one.
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
		: computeOpenSlots(slots, readTeams(upstream, now), team);
}

/**
 * Takes the queued job that gets a slot next, if one may.
 *
 * The job leaves the queue, and its team's use and the slot are noted.
 *
 * @param upstream - the upstream
 * @param now - monotonic ms
 * @returns the job, or undefined when none may take a slot
 */
export function takeNextJob(
	upstream: LocalUpstream,
	now: number,
): Job | undefined {
	const {slots} = upstream.announcement;
	const takenSlots = readOccupiedSlots(upstream, now);
	if (upstream.queuedCount === 0 || takenSlots >= slots) {
		return undefined;
	}

	const team = pickNextTeam({
		slots,
		inFlight: takenSlots,
		startTags: new Map(
			[...upstream.queued].map(([name, jobs]) => [name, jobs[0]!.startTag]),
		),
		teams: readTeams(upstream, now),
	});
	const job = team === undefined ? undefined : upstream.queued.get(team)?.[0];
	if (job) {
		removeFromLocalQueue(job);
		upstream.fairQueue.serve(job.startTag);
		upstream.sent.add(job);
		countRunning(upstream, job.attempt.team, 1);
		noteUse(upstream, job.attempt.team, now);
	}

	return job;
}

/**
 * Notes that a job has left its slot, if it has not before.
 *
 * @param job - the job
 */
export function releaseSlot(job: Job): void {
	const {upstream, attempt} = job;
	if (upstream.sent.delete(job)) {
		countRunning(upstream, attempt.team, -1);
	}
}

function countRunning(
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

function noteUse(upstream: LocalUpstream, team: string, now: number): void {
	const {teamUses} = upstream;
	teamUses.set(team, stepTeamUse(teamUses.get(team), now));
	for (const [name, use] of teamUses) {
		if (readTeamUse(use, now) < forgottenUse) {
			teamUses.delete(name);
		}
	}
}
