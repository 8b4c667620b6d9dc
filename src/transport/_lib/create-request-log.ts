import type {RequestObserver} from '../../protocol/observer.js';
import type {Logger, LogLevel} from '../create-logger.js';

/**
 * Creates an observer that logs each unanswered request and attempt with its
 * identifier.
 *
 * @param logger - logger to write to, at level `debug`
 * @param level - lowest level that the logger writes
 * @returns the observer; empty above level `debug`, so that it adds no cost to requests
 */
export function createRequestLog(
	logger: Logger,
	level: LogLevel,
): RequestObserver {
	if (level !== 'debug') {
		return {};
	}

	return {
		onRequest({requestId, team, service, outcome, reason, attempts}) {
			if (outcome !== 'answered') {
				const fields = {requestId, team, service, outcome, reason, attempts};
				logger.debug('request not answered', fields);
			}
		},
		onAttempt({requestId, attemptId, host, outcome, reason}) {
			if (outcome !== 'answered') {
				const fields = {requestId, attemptId, host, outcome, reason};
				logger.debug('attempt not answered', fields);
			}
		},
	};
}
