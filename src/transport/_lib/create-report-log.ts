import {msPerSecond} from '../../protocol/constants.js';
import type {AnswerVerdict, UpstreamReport} from '../../protocol/edge.js';
import type {Logger} from '../create-logger.js';

/** Options of `createReportLog`. */
export type ReportLogOptions = {
	readonly logger: Pick<Logger, 'info'>;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** A report as it came. */
export type ReportLogEntry = {
	readonly id: string;
	readonly service: string;
	readonly report: UpstreamReport;
	/** Of the answer that it came with. */
	readonly status: number;
	readonly verdict: AnswerVerdict;
};

/** Logs what upstreams report of themselves. */
export type ReportLog = {record(arrival: ReportLogEntry): void};

/** Least time between two lines about an upstream, ms: a value may change with each answer. */
const minIntervalMs = msPerSecond;

/** Most upstreams that are remembered; one host has a few. */
const maxRemembered = 64;

/**
 * Creates a log of what upstreams report of themselves in their answers: a line
 * for each change, at most one a second for each upstream.
 *
 * @param options - see `ReportLogOptions`
 * @returns the log
 */
export function createReportLog({logger, now}: ReportLogOptions): ReportLog {
	const last = new Map<string, {readonly text: string; readonly at: number}>();
	return {
		record({id, service, report, status, verdict}) {
			const before = last.get(id);
			if (!before && report.headerNames.length === 0) {
				return;
			}

			const at = now();
			const text = JSON.stringify(report);
			if (before?.text === text) {
				return;
			}

			if (before && at - before.at < minIntervalMs) {
				return;
			}

			if (last.size >= maxRemembered) {
				last.clear();
			}

			last.set(id, {text, at});
			logger.info('upstream reported', {
				id,
				service,
				status,
				verdict,
				...report,
			});
		},
	};
}
