import {connectTimeoutMs, msPerSecond} from '../../protocol/constants.js';
import type {RequestObserver} from '../../protocol/observer.js';
import type {Logger} from '../create-logger.js';

/** Options of `createAccessLog`. */
export type AccessLogOptions = {
	readonly logger: Logger;
	/** Returns the configuration version in force on the node. */
	readonly readVersion: () => number | undefined;
	/** Limit of lines per second; 25 by default, which takes about 1 ms of work. */
	readonly linesPerSecond?: number;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** One in this many answered requests is logged, selected by request identifier. */
const samplingDivisor = 128;

/** Age at admission from which an attempt is always logged, ms; most clients have given up on older ones. */
const minLoggedAgeMs = 500;

/** Wait for a connection from which an attempt is always logged, ms; the connect timeout without lag. */
const minLoggedSendWaitMs = connectTimeoutMs;

const serverErrorStatus = 500;
const hashFactor = 31;

/** Returns whether a request is sampled; every node selects the same requests. */
function isSampledRequest(requestId: string): boolean {
	let hash = 0;
	for (let index = 0; index < requestId.length; index++) {
		hash =
			(hash * hashFactor + requestId.codePointAt(index)!) % samplingDivisor;
	}

	return hash === 0;
}

function roundDefined(value: number | undefined): number | undefined {
	return value === undefined ? undefined : Math.round(value);
}

/**
 * Creates an observer that logs the outcomes of requests and attempts: all that
 * were not answered or were answered with a server error, and a sample of the
 * others.
 *
 * A rate limit on lines bounds the cost under overload; the number of dropped
 * lines is logged in a separate line.
 *
 * @param options - see `AccessLogOptions`
 * @returns the observer
 */
export function createAccessLog(options: AccessLogOptions): RequestObserver {
	const {logger, readVersion, now, linesPerSecond = 25} = options;
	let windowStartedAt = now();
	let writtenLines = 0;
	let droppedLines = 0;

	/** Writes a line unless there are too many; the fields are created only for a line that is written. */
	function write(
		message: string,
		createFields: () => Record<string, unknown>,
	): void {
		const at = now();
		if (at - windowStartedAt >= msPerSecond) {
			if (droppedLines > 0) {
				logger.warn('log lines dropped', {count: droppedLines});
			}

			windowStartedAt = at;
			writtenLines = 0;
			droppedLines = 0;
		}

		if (writtenLines >= linesPerSecond) {
			droppedLines++;
			return;
		}

		writtenLines++;
		logger.info(message, createFields());
	}

	function shouldLog(event: {
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
			if (!shouldLog(event)) {
				return;
			}

			const {requestId, route, service, outcome, reason, status, tenant} =
				event;
			write('request ended', () => ({
				requestId,
				fingerprint: event.readFingerprint?.(),
				route,
				...(tenant !== undefined && {tenant}),
				service,
				version: readVersion(),
				outcome,
				reason,
				status,
				attempts: event.attempts,
				lagMs: Math.round(event.lagMs),
				durationMs: Math.round(event.durationMs),
			}));
		},
		onAttempt(event) {
			const {sendWaitMs = 0} = event;
			if (sendWaitMs < minLoggedSendWaitMs && !shouldLog(event)) {
				return;
			}

			const {requestId, attempt, host, service, outcome, reason} = event;
			write('attempt ended', () => ({
				requestId,
				fingerprint: event.readFingerprint?.(),
				attempt,
				host,
				service,
				outcome,
				reason,
				status: event.status,
				hadStamp: event.hadStamp,
				sendWaitMs: roundDefined(event.sendWaitMs),
				durationMs: Math.round(event.durationMs),
			}));
		},
		onGate(event) {
			const {ageMs = 0, unreadMs, sendWaitMs = 0, isForwarded} = event;
			const isDelayed =
				ageMs >= minLoggedAgeMs || sendWaitMs >= minLoggedSendWaitMs;
			if (!isDelayed && !shouldLog(event)) {
				return;
			}

			const {requestId, service, outcome, reason, status} = event;
			write('gate ended attempt', () => ({
				requestId,
				fingerprint: event.readFingerprint?.(),
				service,
				outcome,
				reason,
				status,
				isForwarded,
				ageMs: roundDefined(event.ageMs),
				unreadMs: Math.round(unreadMs),
				queuedMs: Math.round(event.queuedMs),
				sendWaitMs: roundDefined(event.sendWaitMs),
				durationMs: Math.round(event.durationMs),
			}));
		},
	};
}
