import type {AdmissionInput} from '../../coordination/decide-admission.js';
import {readServiceTime} from '../../coordination/read-service-time.js';
import type {Attempt} from '../../protocol/attempt.js';
import {queueSlotsRatio} from '../../protocol/constants.js';
import {hasPrecedence} from './has-precedence.js';
import {computeLocalOpenSlots} from './local-slots.js';
import {
	computeLocalWait,
	countAhead,
	findLongestQueue,
	readExpectedServiceTime,
	readOccupiedSlots,
	type LocalUpstream,
	type LocalWait,
} from './local-upstream.js';

/** Estimated wait and service time of an attempt at an upstream. */
export type AttemptEstimate = LocalWait &
	Pick<AdmissionInput, 'serviceMs' | 'meanServiceMs'>;

/**
 * Estimates how long an attempt would wait and run at an upstream.
 *
 * @param upstream - the upstream
 * @param attempt - the attempt
 * @param now - monotonic ms
 * @returns the times, ms
 */
export function computeAttemptEstimate(
	upstream: LocalUpstream,
	attempt: Attempt,
	now: number,
): AttemptEstimate {
	const {priority = 0, remainingMs, routeObjectiveMs = remainingMs} = attempt;
	const isNested = hasPrecedence(attempt);
	const dueAt = now + routeObjectiveMs;
	const wait = computeLocalWait(upstream, {priority, dueAt, isNested}, now);
	return {
		...wait,
		serviceMs: readExpectedServiceTime(upstream, attempt, now),
		meanServiceMs: readServiceTime(upstream.serviceTime, now),
	};
}

/**
 * Creates the input of the decision whether a ready upstream admits an attempt.
 *
 * @param upstream - the upstream
 * @param attempt - the attempt
 * @param estimate - its estimate
 * @param options - `utilization` as a share of the slots, `now` in monotonic ms
 * @returns the input of `decideAdmission`
 */
export function createAdmissionInput(
	upstream: LocalUpstream,
	attempt: Attempt,
	estimate: AttemptEstimate,
	{utilization, now}: {readonly utilization: number; readonly now: number},
): AdmissionInput {
	const {remainingMs, objectiveMs = remainingMs, team} = attempt;
	const isNested = hasPrecedence(attempt);
	return {
		...estimate,
		state: 'ready',
		remainingMs,
		objectiveMs,
		utilization,
		marginRatio: upstream.marginRatio,
		slots: computeLocalOpenSlots(upstream, team, now),
		inFlight: readOccupiedSlots(upstream, now),
		queuedAhead: countAhead(upstream, team),
		queued: upstream.queuedCount,
		teamQueued: upstream.queued.get(team)?.length ?? 0,
		maxTeamQueued: findLongestQueue(upstream).length,
		maxQueued: upstream.announcement.slots * queueSlotsRatio,
		isNested,
		hasNewWorkQueued:
			isNested &&
			[...upstream.queued.values()].flat().some((job) => !job.isNested),
	};
}
