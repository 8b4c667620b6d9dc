import type {AttemptResult} from '../../protocol/attempt.js';
import type {RequestObserver} from '../../protocol/observer.js';
import type {Job} from './local-upstream.js';
import {readFingerprint} from './read-fingerprint.js';

/**
 * Reports the end of an admitted attempt at the gate to an observer.
 *
 * @param observer - the observer
 * @param job - the gate's job for the attempt
 * @param result - result of the attempt
 * @param now - monotonic ms
 */
export function reportGateEvent(
	observer: RequestObserver,
	job: Job,
	result: AttemptResult,
	now: number,
): void {
	const {attempt, admittedAt, sentAt, firstByteAt} = job;
	const {createdAtGateMs, unreadMs = 0} = attempt;
	observer.onGate?.({
		requestId: attempt.requestId,
		attemptId: attempt.id,
		readFingerprint: () => readFingerprint(attempt),
		team: attempt.team,
		service: attempt.service,
		outcome: result.kind,
		reason: result.kind === 'answered' ? undefined : result.reason,
		status: result.kind === 'answered' ? result.status : 0,
		startedAtMs: admittedAt,
		durationMs: now - admittedAt,
		ageMs:
			createdAtGateMs === undefined ? undefined : admittedAt - createdAtGateMs,
		unreadMs,
		isForwarded: attempt.unreadMs !== undefined,
		sendWaitMs: firstByteAt === undefined ? undefined : firstByteAt - sentAt,
		queuedMs: (sentAt === 0 ? now : sentAt) - admittedAt,
		parentTraceparent: attempt.traceparent,
		traceparent: job.traceparent,
	});
}
