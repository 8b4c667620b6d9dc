import type {AttemptResult} from '../../protocol/attempt.js';
import type {RequestObserver} from '../../protocol/observer.js';
import type {Job} from './local-upstream.js';

/**
 * Reports to an observer that an admitted attempt has ended at the gate.
 *
 * @param observer - who is told
 * @param job - the attempt at the gate
 * @param result - what it ended in
 * @param now - monotonic ms
 */
export function reportGateEvent(
	observer: RequestObserver,
	job: Job,
	result: AttemptResult,
	now: number,
): void {
	const {attempt, admittedAt, sentAt} = job;
	const {madeAtGateMs, unreadMs = 0} = attempt;
	observer.onGate?.({
		requestId: attempt.requestId,
		attemptId: attempt.id,
		team: attempt.team,
		service: attempt.service,
		outcome: result.kind,
		reason: result.kind === 'answered' ? undefined : result.reason,
		status: result.kind === 'answered' ? result.status : 0,
		startedAtMs: admittedAt,
		durationMs: now - admittedAt,
		ageMs: madeAtGateMs === undefined ? undefined : admittedAt - madeAtGateMs,
		unreadMs,
		queuedMs: (sentAt === 0 ? now : sentAt) - admittedAt,
		parentTraceparent: attempt.traceparent,
		traceparent: job.traceparent,
	});
}
