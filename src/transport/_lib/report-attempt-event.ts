import type {RequestObserver} from '../../protocol/observer.js';
import {readFingerprint} from './read-fingerprint.js';
import type {AttemptEnd} from './run-request.js';

/**
 * Reports the end of an attempt at the caller's node to an observer.
 *
 * @param observer - the observer
 * @param end - the attempt and its result
 * @param parentTraceparent - trace context of the request
 * @param now - monotonic ms
 */
export function reportAttemptEvent(
	observer: RequestObserver,
	end: AttemptEnd,
	parentTraceparent: string | undefined,
	now: number,
): void {
	if (!observer.onAttempt) {
		return;
	}

	const {attempt, result, startedAt, firstByteAt} = end;
	const isAnswered = result.kind === 'answered';
	observer.onAttempt({
		requestId: attempt.requestId,
		attemptId: attempt.id,
		readFingerprint: () => readFingerprint(attempt),
		attempt: end.number,
		host: end.gate.host.host,
		hadStamp: attempt.stamp !== undefined,
		sendWaitMs: firstByteAt === undefined ? undefined : firstByteAt - startedAt,
		team: attempt.team,
		service: attempt.service,
		outcome: result.kind === 'lost' ? 'unknown' : result.kind,
		reason: isAnswered ? undefined : result.reason,
		status: isAnswered ? result.status : 0,
		startedAtMs: startedAt,
		durationMs: now - startedAt,
		parentTraceparent,
		traceparent: attempt.traceparent,
	});
}
