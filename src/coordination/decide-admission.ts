import type {OutcomeReason} from '../protocol/request.js';

/** What the gate knows when an attempt arrives. */
export type AdmissionInput = {
	/** State of the service's upstream on the host; `leaving` too when the node is. */
	readonly state: 'ready' | 'leaving' | 'no-upstream';
	/** Time left until the attempt's deadline, ms. */
	readonly remainingMs: number;
	readonly slots: number;
	readonly inFlight: number;
	/** Queued attempts that are served before this one. */
	readonly queuedAhead: number;
	/** Queued attempts of all teams. */
	readonly queued: number;
	/** Queued attempts of the attempt's own team. */
	readonly teamQueued: number;
	/** Queued attempts of the team that has most. */
	readonly maxTeamQueued: number;
	readonly maxQueued: number;
	/** Expected time of the attempt at the upstream, ms. */
	readonly serviceMs: number;
	/** Expected time of any attempt at the upstream, ms. */
	readonly meanServiceMs: number;
	/** Expected wait among those that can be in time, ms. */
	readonly waitMs: number;
	/** Expected wait behind all that is queued, ms. */
	readonly lateWaitMs: number;
	/**
	 * Expected wait for its turn under the upstream's rate limit, ms; 0 when
	 * absent. It is a part of the waits above.
	 */
	readonly rateLimitWaitMs?: number;
	/** Time left in which an answer has its full value, ms. */
	readonly objectiveMs: number;
	/** Share of the slots that all attempts that came in time would take up. */
	readonly utilization: number;
	/**
	 * By how much answers come later than expected, in parts of their expected
	 * time at the upstream; `usualMarginPart` when absent.
	 */
	readonly marginRatio?: number;
};

/** Whether an attempt may enter the queue. */
export type Admission =
	/** It may, after an attempt of the longest team was pushed out if so said. */
	| {
			readonly kind: 'admit';
			readonly shouldEvict: boolean;
			/** Whether its answer will come after its objective. */
			readonly isLate: boolean;
	  }
	| {readonly kind: 'refuse'; readonly reason: OutcomeReason};

/**
 * Share of the slots that attempts in time must leave free for attempts that
 * can only be late. It counts those that were refused too: a late attempt in a
 * slot is why the next ones in time are refused.
 */
const minFreeShare = 0.15;

/** Part of the time left that a late attempt may wait. */
export const lateWaitRatio = 0.5;

/** Part of the mean time below which an attempt takes little from others. */
const shortTimeRatio = 0.75;

/** Margin for the scatter of times while nothing is known of it, in parts of the expected time. */
export const defaultMarginRatio = 0.4;

/** Time for the way back, ms. */
const returnTransitMs = 10;

function refuse(reason: OutcomeReason): Admission {
	return {kind: 'refuse', reason};
}

/**
 * Tells whether an attempt that can only be late may wait: while the others
 * leave slots free, and will have done so before its deadline.
 */
function hasCapacityForLate(input: AdmissionInput): boolean {
	const freeShare = 1 - input.utilization;
	const waitMs = input.lateWaitMs / freeShare;
	return (
		freeShare >= minFreeShare &&
		waitMs + input.serviceMs <= input.remainingMs * lateWaitRatio
	);
}

/** Tells whether an answer is expected after the objective. */
function isExpectedLate(input: AdmissionInput, waitMs: number): boolean {
	const {serviceMs, objectiveMs, remainingMs} = input;
	const {marginRatio: knownMarginRatio = defaultMarginRatio} = input;
	// An idle slot serves nobody better than the one who comes first.
	const marginRatio =
		waitMs === 0
			? Math.min(knownMarginRatio, defaultMarginRatio)
			: knownMarginRatio;
	const expectedMs = waitMs + serviceMs * (1 + marginRatio) + returnTransitMs;
	return objectiveMs < remainingMs && expectedMs > objectiveMs;
}

/**
 * Decides whether a gate takes an attempt that has arrived.
 *
 * An attempt that could not be answered within its deadline is refused at once,
 * and so is one that could only be late while those in time take all slots.
 * When the queue is full, a team that has fewer attempts in it than another
 * pushes out the newest of that other team. Under a rate limit no attempt waits
 * for its turn that would then be late.
 *
 * @param input - see `AdmissionInput`
 * @returns whether to admit it, or why not
 * @example
 * decideAdmission({...input, inFlight: 0, slots: 6}).kind; // 'admit'
 */
export function decideAdmission(input: AdmissionInput): Admission {
	const {state, slots, inFlight, queuedAhead, serviceMs, remainingMs} = input;
	if (state !== 'ready') {
		return refuse(state);
	}

	const {rateLimitWaitMs = 0} = input;
	const isFree = inFlight < slots && queuedAhead === 0 && rateLimitWaitMs === 0;
	const waitMs = isFree ? 0 : input.waitMs;
	if (remainingMs <= 0 || waitMs + serviceMs > remainingMs) {
		const canRunElsewhere = rateLimitWaitMs > 0 && serviceMs <= remainingMs;
		return refuse(canRunElsewhere ? 'limited' : 'deadline');
	}

	if (rateLimitWaitMs > 0 && isExpectedLate(input, waitMs)) {
		return refuse('limited');
	}

	// A short attempt is mostly a call for which a longer one holds its slot.
	const isShort = serviceMs < input.meanServiceMs * shortTimeRatio;
	const isLate = !isShort && isExpectedLate(input, waitMs);
	if (isFree && (!isLate || input.utilization < 1)) {
		return {kind: 'admit', shouldEvict: false, isLate};
	}

	// A late attempt in the last free slot is in the way of the next one in time.
	if (isLate && !hasCapacityForLate(input)) {
		return refuse('saturated');
	}

	if (input.queued < input.maxQueued) {
		return {kind: 'admit', shouldEvict: false, isLate};
	}

	return input.teamQueued + 1 < input.maxTeamQueued
		? {kind: 'admit', shouldEvict: true, isLate}
		: refuse('saturated');
}
