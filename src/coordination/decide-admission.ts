import type {OutcomeReason} from '../protocol/request.js';

/** State of the gate and its upstream when an attempt arrives. */
export type AdmissionInput = {
	/** State of the service's upstream on the host; also `leaving` when the node itself is. */
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
	/** Queued attempts of the team with the longest queue. */
	readonly maxTeamQueued: number;
	readonly maxQueued: number;
	/** Expected time of the attempt at the upstream, ms. */
	readonly serviceMs: number;
	/** Expected time of any attempt at the upstream, ms. */
	readonly meanServiceMs: number;
	/** Expected wait behind attempts that can meet their objective, ms. */
	readonly waitMs: number;
	/** Expected wait behind all queued attempts, ms. */
	readonly lateWaitMs: number;
	/**
	 * Expected wait under the upstream's rate limit, ms; 0 when absent. It is
	 * included in the waits above.
	 */
	readonly rateLimitWaitMs?: number;
	/** Time left in which an answer has its full value, ms. */
	readonly objectiveMs: number;
	/** Share of the slots that all attempts that arrived in time would occupy. */
	readonly utilization: number;
	/**
	 * Margin by which answers come later than expected, as a ratio of their
	 * expected time at the upstream; `defaultMarginRatio` when absent.
	 */
	readonly marginRatio?: number;
	/** Whether a running request waits for the attempt; false when absent. */
	readonly isNested?: boolean;
	/** Whether a queued attempt at new work can be evicted for a nested call; false when absent. */
	readonly hasNewWorkQueued?: boolean;
};

/** Whether an attempt may enter the queue. */
export type Admission =
	/**
	 * The attempt may enter; `shouldEvict` requires evicting another first: for a
	 * nested call one of new work, otherwise one of the team with the longest queue.
	 */
	| {
			readonly kind: 'admit';
			readonly shouldEvict: boolean;
			/** Whether its answer is expected after its objective. */
			readonly isLate: boolean;
	  }
	| {readonly kind: 'refuse'; readonly reason: OutcomeReason};

/**
 * Share of the slots that attempts in time must leave free before attempts that
 * can only be late are admitted. Refused attempts count too, because a late
 * attempt in a slot causes the next attempts in time to be refused.
 */
const minFreeShare = 0.15;

/** Longest wait of a late attempt, as a ratio of the time left. */
export const lateWaitRatio = 0.5;

/** Ratio of the mean time below which an attempt delays others only slightly. */
const shortTimeRatio = 0.75;

/** Margin for the variation of times until it is known, as a ratio of the expected time. */
export const defaultMarginRatio = 0.4;

/** Length of a queue of nested calls alone, as a ratio of the usual length; their deadlines limit it earlier. */
const nestedQueueRatio = 4;

/** Transit time of the answer, ms. */
const returnTransitMs = 10;

function refuse(reason: OutcomeReason): Admission {
	return {kind: 'refuse', reason};
}

/**
 * Tells whether an attempt that can only be late may wait: if the other attempts
 * leave enough slots free for it to run before its deadline.
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
	// While a slot is idle, refusing the attempt would benefit no other attempt.
	const marginRatio =
		waitMs === 0
			? Math.min(knownMarginRatio, defaultMarginRatio)
			: knownMarginRatio;
	const expectedMs = waitMs + serviceMs * (1 + marginRatio) + returnTransitMs;
	return objectiveMs < remainingMs && expectedMs > objectiveMs;
}

/**
 * Decides on a nested call, which is admitted if it can be answered before its
 * deadline: the request that waits for it loses all its work otherwise, while a
 * late answer costs nothing but time.
 */
function decideNestedAdmission(
	input: AdmissionInput,
	waitMs: number,
): Admission {
	const {serviceMs, remainingMs, rateLimitWaitMs = 0} = input;
	const {marginRatio = defaultMarginRatio} = input;
	// While a slot is idle, refusing the attempt would benefit no other attempt.
	const margin = waitMs === 0 ? 0 : serviceMs * marginRatio + returnTransitMs;
	if (waitMs + serviceMs + margin > remainingMs) {
		return refuse(rateLimitWaitMs > 0 ? 'limited' : 'saturated');
	}

	if (input.queued < input.maxQueued) {
		return {kind: 'admit', shouldEvict: false, isLate: false};
	}

	const {hasNewWorkQueued: shouldEvict = false} = input;
	return shouldEvict || input.queued < input.maxQueued * nestedQueueRatio
		? {kind: 'admit', shouldEvict, isLate: false}
		: refuse('saturated');
}

/** Decides whether there is a place in the queue for an attempt that is not a nested call. */
function decideQueueAdmission(
	{queued, maxQueued, teamQueued, maxTeamQueued}: AdmissionInput,
	isLate: boolean,
): Admission {
	if (queued < maxQueued) {
		return {kind: 'admit', shouldEvict: false, isLate};
	}

	return teamQueued + 1 < maxTeamQueued
		? {kind: 'admit', shouldEvict: true, isLate}
		: refuse('saturated');
}

/**
 * Decides whether a gate admits an attempt that has arrived.
 *
 * An attempt that cannot be answered within its deadline is refused at once, and
 * so is one that can only be late while attempts in time use all slots. When the
 * queue is full, an attempt of a team with fewer queued attempts than another
 * team evicts the newest attempt of that team. Under a rate limit, an attempt
 * whose wait would make it late is refused. A nested call only has to be
 * answered before its deadline, and evicts new work from a full queue.
 *
 * @param input - see `AdmissionInput`
 * @returns the admission, or the reason of the refusal
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

	if (input.isNested) {
		return decideNestedAdmission(input, waitMs);
	}

	if (rateLimitWaitMs > 0 && isExpectedLate(input, waitMs)) {
		return refuse('limited');
	}

	// A short attempt is usually a nested call of a longer request that holds a slot.
	const isShort = serviceMs < input.meanServiceMs * shortTimeRatio;
	const isLate = !isShort && isExpectedLate(input, waitMs);
	if (isFree && (!isLate || input.utilization < 1)) {
		return {kind: 'admit', shouldEvict: false, isLate};
	}

	// A late attempt in the last free slot would block the next one in time.
	if (isLate && !hasCapacityForLate(input)) {
		return refuse('saturated');
	}

	return decideQueueAdmission(input, isLate);
}
