import type {IncomingMessage} from 'node:http';
import type {RequestObserver} from '../../protocol/observer.js';
import type {CompiledRoute} from '../../protocol/request.js';
import type {RequestEnd} from './run-request.js';

/** Properties of a request that are reported with its end. */
export type ReportedRequest = {
	readonly request: IncomingMessage;
	readonly route: CompiledRoute;
	readonly requestId: string;
	/** Monotonic ms. */
	readonly startedAt: number;
	/** Time between the request's arrival and its reading, ms. */
	readonly lagMs: number;
	/** Whether its client had sent it before. */
	readonly isReturned: boolean;
	readonly parentTraceparent: string | undefined;
	readonly traceparent: string | undefined;
};

/**
 * Reports the final outcome of a request to an observer.
 *
 * @param observer - the observer
 * @param reported - the request
 * @param end - end of the request
 * @param now - monotonic ms
 */
export function reportRequestEvent(
	observer: RequestObserver,
	reported: ReportedRequest,
	end: RequestEnd,
	now: number,
): void {
	if (!observer.onRequest) {
		return;
	}

	const {request, route, startedAt} = reported;
	const isAnswered = end.outcome === 'answered';
	observer.onRequest({
		requestId: reported.requestId,
		readFingerprint: end.readFingerprint,
		route: route.name,
		method: request.method ?? 'GET',
		attempts: end.attempts,
		lagMs: reported.lagMs,
		isReturned: reported.isReturned,
		tenant: route.tenant,
		team: route.team,
		service: route.service,
		outcome: end.outcome,
		reason: isAnswered ? undefined : end.reason,
		status: isAnswered ? end.answer.status : 0,
		startedAtMs: startedAt,
		durationMs: now - startedAt,
		parentTraceparent: reported.parentTraceparent,
		traceparent: reported.traceparent,
	});
}
