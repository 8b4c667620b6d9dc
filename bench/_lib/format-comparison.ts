import type {StreamReport} from './load-plan.js';

function formatSpread(values: readonly number[]): string {
	const sorted = values.toSorted((a, b) => a - b);
	return `${sorted[0]?.toFixed(2)}..${sorted.at(-1)?.toFixed(2)}`;
}

/**
 * Formats the reports of a run, one line a stream.
 *
 * @param title - what was run
 * @param reports - reports by label
 * @returns lines with latencies in ms and their spread over the rounds
 * @example
 * console.log(formatComparison('depth 1', reports));
 */
export function formatComparison(
	title: string,
	reports: ReadonlyMap<string, StreamReport>,
): string {
	return [...reports.values()]
		.map((report) => {
			const {label, sent, answered, inTime, notRun, unknown, failed} = report;
			const p50 = `${report.p50Ms.toFixed(2)} (${formatSpread(report.rounds.map(({p50Ms}) => p50Ms))})`;
			const p99 = `${report.p99Ms.toFixed(2)} (${formatSpread(report.rounds.map(({p99Ms}) => p99Ms))})`;
			return `${title}\t${label}\tp50 ${p50}\tp99 ${p99}\tmax ${report.maxMs.toFixed(1)}\tsent ${sent} answered ${answered} in time ${inTime} not run ${notRun} unknown ${unknown} failed ${failed}`;
		})
		.join('\n');
}
