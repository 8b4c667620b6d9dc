import {productAdmission} from './product-decisions.js';
import type {NodeAdmission, NodeInput} from './shortage-decisions.js';

/** Recent requests of a class. */
type ClassRecord = {requests: number; inTime: number; at: number};

/** Time constant of the counts, ms. */
const windowMs = 1000;
/** Requests that are admitted for each one that was lately answered in time, so that recovery is noticed. */
const admittedRatio = 1.3;
/** Share of refused requests from which a client is not told to come back. */
const finalShare = 0.05;

/**
 * Creates an admission that refuses a share of a class of clients' requests, so
 * that it admits little more than what is answered in time. Calls of running
 * requests are admitted.
 *
 * @param hasFinalRefusals - whether clients are told not to come back when
 * many of their class are refused; those that come back are refused then
 * @returns the admission of one node
 */
export function createThrottleAdmission(
	hasFinalRefusals: boolean,
): NodeAdmission {
	const records = new Map<string, ClassRecord>();
	let lastAt = 0;

	function readRecord(name: string, now: number): ClassRecord {
		const record = records.get(name) ?? {requests: 0, inTime: 0, at: now};
		const kept = Math.exp((record.at - now) / windowMs);
		record.requests *= kept;
		record.inTime *= kept;
		record.at = now;
		records.set(name, record);
		return record;
	}

	function readRefusedShare({className, now}: NodeInput): number {
		const {requests, inTime} = readRecord(className, now);
		return Math.max(
			0,
			(requests - admittedRatio * inTime - 3) / (requests + 1),
		);
	}

	function reviseRetryAfterMs(input: NodeInput, retryAfterMs: number): number {
		return hasFinalRefusals && readRefusedShare(input) > finalShare
			? input.remainingMs
			: retryAfterMs;
	}

	return {
		decideCaller(input) {
			lastAt = input.now;
			if (input.isCall) {
				return true;
			}

			const share = readRefusedShare(input);
			readRecord(input.className, input.now).requests++;
			const isBack = hasFinalRefusals && input.ageMs > 0;
			return (
				productAdmission.decideCaller(input) &&
				(isBack ? share <= finalShare : input.random >= share)
			);
		},
		decideGate: ({lagMs, remainingMs}) => lagMs < remainingMs,
		computeRetryAfterMs(input) {
			return reviseRetryAfterMs(
				input,
				productAdmission.computeRetryAfterMs(input),
			);
		},
		reviseRetryAfterMs,
		recordOutcome(className, isInTime) {
			if (isInTime) {
				readRecord(className, lastAt).inTime++;
			}
		},
	};
}
