import type {AttemptResult} from '../../protocol/attempt.js';
import {formatService} from '../../state/format-service.js';
import type {JobEnd} from './create-crash-detector.js';
import type {CountedResponse} from './create-response-counter.js';
import type {Job} from './local-upstream.js';

/** Receives the responses of upstreams. */
export type JobEndListener = {
	/** Whether responses of a service are counted. */
	readonly isCounting: (service: string) => boolean;
	readonly recordResponse: (response: CountedResponse) => void;
};

/** A job that was sent and has ended. */
export type EndedAttempt = {
	readonly job: Job;
	readonly end: JobEnd;
	readonly result: AttemptResult;
	/** When it ended, monotonic ms. */
	readonly now: number;
};

const serverErrorStatus = 500;

/** Returns whether the upstream has failed an attempt; undefined when the end says nothing about it. */
function readFailure({job, end, result}: EndedAttempt): boolean | undefined {
	switch (end) {
		case 'lost': {
			return true;
		}

		case 'answered': {
			return result.kind === 'answered'
				? result.status >= serverErrorStatus
				: undefined;
		}

		case 'aborted': {
			// Its time counts, but nobody knows whether it would have failed.
			return job.earlyEndReason === 'deadline' ? false : undefined;
		}

		case 'refused':
		case 'replaced': {
			return undefined;
		}
	}
}

/**
 * Reports the end of an attempt at an upstream that announces a version.
 *
 * @param listener - see `JobEndListener`
 * @param ended - see `EndedAttempt`
 */
export function reportJobEnd(
	listener: JobEndListener,
	ended: EndedAttempt,
): void {
	const {attempt, upstream, sentAt} = ended.job;
	const {version} = upstream.announcement;
	const service = formatService(upstream.announcement);
	if (version === undefined || !listener.isCounting(service)) {
		return;
	}

	const isFailed = readFailure(ended);
	if (isFailed !== undefined) {
		const {route = ''} = attempt;
		const durationMs = ended.now - sentAt;
		listener.recordResponse({service, version, route, isFailed, durationMs});
	}
}
