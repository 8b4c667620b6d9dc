import {msPerSecond} from '../../protocol/constants.js';
import type {ResponseClass, UpstreamReport} from '../../protocol/edge.js';
import type {Logger} from '../create-logger.js';

/** Options of `createReportLog`. */
export type ReportLogOptions = {
	readonly logger: Pick<Logger, 'info'>;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** A report of an upstream and the response that carried it. */
export type ReportLogEntry = {
	readonly id: string;
	readonly service: string;
	readonly report: UpstreamReport;
	/** HTTP status of the response. */
	readonly status: number;
	readonly verdict: ResponseClass;
};

/** Logs the reports of upstreams. */
export type ReportLog = {record(arrival: ReportLogEntry): void};

/** Minimum time between two lines about an upstream, ms; values may change with each response. */
const minIntervalMs = msPerSecond;

/** Limit of upstreams whose last report is kept; a host has only a few upstreams. */
const maxTrackedUpstreams = 64;

/**
 * Creates a log of the reports that upstreams send with their responses. It
 * writes one line per change, at most one per second and upstream.
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

			if (last.size >= maxTrackedUpstreams) {
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
