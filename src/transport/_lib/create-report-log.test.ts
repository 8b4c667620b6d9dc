import assert from 'node:assert/strict';
import test from 'node:test';
import {createSilentLogger} from '../../../harness/create-silent-logger.js';
import type {UpstreamReport} from '../../protocol/edge.js';
import {createReportLog} from './create-report-log.js';

function createReport(perSecond?: number): UpstreamReport {
	return {
		rateLimit:
			perSecond === undefined ? {kind: 'none'} : {kind: 'named', perSecond},
		isLeaving: false,
		headerNames: perSecond === undefined ? [] : ['limit'],
	};
}

test('a report is logged when it changes, at most once a second', () => {
	const lines: unknown[] = [];
	let at = 0;
	const log = createReportLog({
		now: () => at,
		logger: {
			...createSilentLogger(),
			info(_message, fields) {
				lines.push(fields?.rateLimit);
			},
		},
	});
	const steps: ReadonlyArray<readonly [number, number | undefined]> = [
		[0, undefined],
		[10, 12.6],
		[20, 12.6],
		[30, 11],
		[1100, 11],
		[2200, undefined],
		[3300, undefined],
	];
	for (const [time, perSecond] of steps) {
		at = time;
		const report = createReport(perSecond);
		log.record({
			id: 'i-1',
			service: 'a',
			report,
			status: 200,
			verdict: 'answered',
		});
	}

	assert.deepEqual(lines, [
		{kind: 'named', perSecond: 12.6},
		{kind: 'named', perSecond: 11},
		{kind: 'none'},
	]);
});
