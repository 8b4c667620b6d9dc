import {build, type Histogram} from 'hdr-histogram-js';
import type {Stream, StreamReport} from './load-plan.js';

/** How one request ended. */
export type Ending = 'answered' | 'not-run' | 'unknown' | 'failed';

/** Record of what happened to the requests of one stream. */
export type StreamRecord = {
	add(ending: Ending, latencyMs: number, reason: string): void;
	endRound(): void;
	report(): StreamReport;
};

const unitsPerMs = 1000;

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 120_000_000,
		numberOfSignificantValueDigits: 3,
	});
}

function readMs(histogram: Histogram, percentile: number): number {
	return histogram.getValueAtPercentile(percentile) / unitsPerMs;
}

/**
 * Creates the record of one stream.
 *
 * @param stream - the stream
 * @returns an empty record
 * @example
 * createStreamRecord(stream).add('answered', 1.2, '');
 */
export function createStreamRecord(stream: Stream): StreamRecord {
	const counts = {answered: 0, 'not-run': 0, unknown: 0, failed: 0};
	const reasons: Record<string, number> = {};
	const all = createHistogram();
	const rounds: StreamReport['rounds'] = [];
	let current = createHistogram();
	let inTime = 0;
	return {
		add(ending, latencyMs, reason) {
			counts[ending]++;
			if (reason) {
				reasons[reason] = (reasons[reason] ?? 0) + 1;
			}

			if (ending === 'answered') {
				inTime += latencyMs <= stream.deadlineMs ? 1 : 0;
				const value = Math.max(1, Math.round(latencyMs * unitsPerMs));
				all.recordValue(value);
				current.recordValue(value);
			}
		},
		endRound() {
			rounds.push({
				p50Ms: readMs(current, 50),
				p99Ms: readMs(current, 99),
				answered: current.totalCount,
			});
			current = createHistogram();
		},
		report: () => ({
			label: stream.label,
			sent: Object.values(counts).reduce((sum, count) => sum + count, 0),
			answered: counts.answered,
			inTime,
			notRun: counts['not-run'],
			unknown: counts.unknown,
			failed: counts.failed,
			reasons,
			p50Ms: readMs(all, 50),
			p99Ms: readMs(all, 99),
			maxMs: all.maxValue / unitsPerMs,
			rounds,
		}),
	};
}
