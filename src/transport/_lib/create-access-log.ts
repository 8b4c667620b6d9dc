import {msPerSecond} from '../../protocol/constants.js';
import type {RequestObserver} from '../../protocol/observer.js';
import type {Logger} from '../create-logger.js';

/** Options of `createDecisionLog`. */
export type AccessLogOptions = {
	readonly logger: Logger;
	/** Version of the configuration that the node runs. */
	readonly readVersion: () => number | undefined;
	/** Most lines a second; 25 when absent, about a millisecond of work. */
	readonly linesPerSecond?: number;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Of the answered requests, one in this many is logged, by identifier. */
const sampledOneIn = 128;

/** Age of an attempt at its admission from which it is logged, ms; older ones outlast most clients. */
const notableAgeMs = 500;

const serverErrorStatus = 500;
const hashFactor = 31;
const hashModulus = 2 ** 32;

/** Tells whether a request is sampled: the same ones on every node. */
function isSampledRequest(requestId: string): boolean {
	let hash = 0;
	for (let index = 0; index < requestId.length; index++) {
		hash = (hash * hashFactor + requestId.codePointAt(index)!) % hashModulus;
	}

	return hash % sampledOneIn === 0;
}

/**
 * Creates an observer that logs what was decided about requests: every one that
 * was not answered, or answered with a server error, and a sample of the others.
 *
 * A bound on lines keeps the cost flat in overload; what it drops is counted in
 * a line of its own.
 *
 * @param options - see `DecisionLogOptions`
 * @returns the observer
 */
export function createAccessLog(options: AccessLogOptions): RequestObserver {
	const {logger, readVersion, now, linesPerSecond = 25} = options;
	let windowAt = now();
	let written = 0;
	let dropped = 0;

	function write(message: string, fields: Record<string, unknown>): void {
		const at = now();
		if (at - windowAt >= msPerSecond) {
			if (dropped > 0) {
				logger.warn('log lines dropped', {count: dropped});
			}

			windowAt = at;
			written = 0;
			dropped = 0;
		}

		if (written >= linesPerSecond) {
			dropped++;
			return;
		}

		written++;
		logger.info(message, fields);
	}

	function isNotable(event: {
		readonly outcome: string;
		readonly status: number;
		readonly requestId: string;
	}): boolean {
		return (
			event.outcome !== 'answered' ||
			event.status >= serverErrorStatus ||
			isSampledRequest(event.requestId)
		);
	}

	return {
		onRequest(event) {
			if (!isNotable(event)) {
				return;
			}

			const {requestId, route, service, outcome, reason, status} = event;
			write('request ended', {
				requestId,
				route,
				service,
				version: readVersion(),
				outcome,
				reason,
				status,
				attempts: event.attempts,
				lagMs: Math.round(event.lagMs),
				durationMs: Math.round(event.durationMs),
			});
		},
		onAttempt(event) {
			if (!isNotable(event)) {
				return;
			}

			const {requestId, attempt, host, service, outcome, reason} = event;
			write('attempt ended', {
				requestId,
				attempt,
				host,
				service,
				outcome,
				reason,
				status: event.status,
				durationMs: Math.round(event.durationMs),
			});
		},
		onGate(event) {
			const {ageMs = 0, unreadMs} = event;
			if (ageMs < notableAgeMs && !isNotable(event)) {
				return;
			}

			const {requestId, service, outcome, reason, status} = event;
			write('gate ended attempt', {
				requestId,
				service,
				outcome,
				reason,
				status,
				ageMs: event.ageMs === undefined ? undefined : Math.round(ageMs),
				unreadMs: Math.round(unreadMs),
				queuedMs: Math.round(event.queuedMs),
				durationMs: Math.round(event.durationMs),
			});
		},
	};
}
