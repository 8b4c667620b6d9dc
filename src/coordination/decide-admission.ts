import {msPerSecond, retryAfterSeconds} from '../protocol/constants.js';
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
	readonly ahead: number;
	/** Queued attempts of all teams. */
	readonly queued: number;
	/** Queued attempts of the attempt's own team. */
	readonly ownQueued: number;
	/** Queued attempts of the team that has most. */
	readonly longestQueued: number;
	readonly maxQueued: number;
	/** Aged mean time that the upstream takes, ms. */
	readonly serviceMs: number;
};

/** Whether an attempt may enter the queue. */
export type Admission =
	/** It may, after an attempt of the longest team was pushed out if so said. */
	| {readonly kind: 'admit'; readonly pushOut: boolean}
	| {
			readonly kind: 'refuse';
			readonly reason: OutcomeReason;
			readonly retryAfterSeconds: number;
	  };

function refuse(reason: OutcomeReason, waitMs: number): Admission {
	const seconds = Math.ceil(waitMs / msPerSecond);
	return {
		kind: 'refuse',
		reason,
		retryAfterSeconds: Math.max(retryAfterSeconds, seconds),
	};
}

/**
 * Decides whether a gate takes an attempt that has arrived.
 *
 * An attempt that could not be answered within its deadline is refused at once.
 * When the queue is full, a team that has fewer attempts in it than another
 * pushes out the newest of that other team.
 *
 * @param input - see `AdmissionInput`
 * @returns whether to admit it, or why not and when to come again
 * @example
 * decideAdmission({...input, inFlight: 0, slots: 6}).kind; // 'admit'
 */
export function decideAdmission(input: AdmissionInput): Admission {
	const {state, slots, inFlight, ahead, serviceMs, remainingMs} = input;
	if (state !== 'ready') {
		return refuse(state, 0);
	}

	const isFree = inFlight < slots && ahead === 0;
	const turns = isFree ? 0 : (ahead + 1) / slots;
	const waitMs = turns * serviceMs;
	if (remainingMs <= 0 || waitMs + serviceMs > remainingMs) {
		return refuse('deadline', waitMs);
	}

	if (isFree || input.queued < input.maxQueued) {
		return {kind: 'admit', pushOut: false};
	}

	return input.ownQueued + 1 < input.longestQueued
		? {kind: 'admit', pushOut: true}
		: refuse('saturated', waitMs);
}
