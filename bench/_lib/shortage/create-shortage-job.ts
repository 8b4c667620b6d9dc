import {createSampleAttempt} from '../../../harness/create-sample-attempt.js';
import {lateWaitRatio} from '../../../src/coordination/decide-admission.js';
import type {Attempt} from '../../../src/protocol/attempt.js';
import type {
	Job,
	LocalUpstream,
} from '../../../src/transport/_lib/local-upstream.js';
import {hasPrecedence} from '../../../src/transport/_lib/has-precedence.js';
import type {ShortageAttempt} from './shortage-attempt.js';

/** What a gate expects of an attempt that it admits. */
export type JobEstimate = {
	readonly serviceMs: number;
	readonly waitMs: number;
	readonly isLate: boolean;
};

const sample = createSampleAttempt();

/** The result of a job; the gate in virtual time tells the end itself. */
const neverEnding = new Promise<never>(ignore);

function ignore(): void {
	// Nobody waits for the result.
}

/**
 * Creates an attempt of the product from one in virtual time.
 *
 * @param attempt - the attempt
 * @param hasOrder - whether attempts wait by priority and objective
 * @param now - the gate's time, ms
 * @returns the attempt as the gate reads it
 */
export function createGateAttempt(
	{requestClass, deadlineAt, objectiveAt}: ShortageAttempt,
	hasOrder: boolean,
	now: number,
): Attempt {
	return {
		...sample,
		route: requestClass.name,
		repeatable: requestClass.repeatable,
		priority: hasOrder ? requestClass.priority : 0,
		routeObjectiveMs: hasOrder ? requestClass.objectiveMs : 0,
		remainingMs: Math.max(0, deadlineAt - now),
		objectiveMs: Math.max(0, objectiveAt - now),
	};
}

/**
 * Creates the job of an attempt that a gate has admitted.
 *
 * @param attempt - the attempt
 * @param upstream - its upstream
 * @param estimate - see `JobEstimate`
 * @param now - the gate's time, ms
 * @returns the job, queued
 */
export function createShortageJob(
	attempt: Attempt,
	upstream: LocalUpstream,
	{serviceMs, waitMs, isLate}: JobEstimate,
	now: number,
): Job {
	const {remainingMs, objectiveMs = remainingMs, team} = attempt;
	return {
		attempt,
		upstream,
		traceparent: undefined,
		admittedAt: now,
		deadlineAt: now + remainingMs,
		queueExpiresAt:
			now +
			(isLate
				? remainingMs * lateWaitRatio
				: Math.max(0, remainingMs - serviceMs)),
		latestStartAt: now + Math.max(0, objectiveMs - serviceMs),
		startTag: upstream.fairQueue.enter(team),
		isLate,
		serviceMs,
		expectedMs: waitMs + serviceMs,
		priority: attempt.priority ?? 0,
		isNested: hasPrecedence(attempt),
		dueAt: now + (attempt.routeObjectiveMs ?? remainingMs),
		result: neverEnding,
		resolve: ignore,
		phase: 'queued',
		sentAt: 0,
		sent: undefined,
		firstByteAt: undefined,
		fullySentAt: Number.POSITIVE_INFINITY,
		isSuspect: false,
		isAnswered: false,
		isLost: false,
		earlyEndReason: undefined,
	};
}
