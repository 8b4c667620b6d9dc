import assert from 'node:assert/strict';
import test from 'node:test';
import {
	computeUpstreamWork,
	type UpstreamWork,
} from './compute-upstream-work.js';

type Report = {
	readonly running: number;
	readonly queued?: number;
	readonly unanswered: number;
	readonly suspected?: number;
	readonly read?: number;
	readonly isRefusal?: boolean | undefined;
};

/** Computes the work after a series of reports, one every 10 ms. */
function computeWork(...reports: readonly Report[]): UpstreamWork {
	let work: UpstreamWork | undefined;
	for (const [index, report] of reports.entries()) {
		const {running, queued = 0, unanswered, suspected = 0} = report;
		const {read = unanswered - suspected, isRefusal} = report;
		const load = {inFlight: running, queued};
		work = computeUpstreamWork(
			work,
			{load, unanswered, suspected, read, isRefusal},
			index * 10,
		);
	}

	return work!;
}

const complete = {running: 3, unanswered: 2};

test('requests that an upstream does not report are lost', () => {
	const first = computeWork(complete);
	assert.deepEqual([first.lost, first.includesOwnRequest], [0, true]);
	assert.equal(computeWork(complete, {running: 2, unanswered: 3}).lost, 2);
});

test('a report may exclude the request that it is returned with', () => {
	const work = computeWork({running: 2, unanswered: 2});
	assert.deepEqual([work.lost, work.includesOwnRequest], [0, false]);
});

test('requests that may not have been read are not counted as lost', () => {
	const work = computeWork({running: 1, unanswered: 4, read: 1});
	assert.equal(work.lost, 0);
});

test('queued requests count as work', () => {
	const work = computeWork({running: 6, queued: 3, unanswered: 8});
	assert.deepEqual([work.lost, work.foreignRequests], [0, 0]);
});

test('a request is missing until a report covers all requests', () => {
	const lacking = {running: 3, unanswered: 3};
	const unsure = {running: 3, unanswered: 3, read: 2};
	const work = computeWork(complete, lacking, unsure, lacking);
	assert.deepEqual([work.missingSince, work.missingReports], [10, 2]);
	const mended = computeWork(complete, lacking, complete, lacking);
	assert.deepEqual([mended.missingSince, mended.missingReports], [30, 1]);
});

test('a suspected request is not missing once more', () => {
	const lacking = {running: 3, unanswered: 3};
	const work = computeWork(complete, lacking, {...lacking, suspected: 1});
	assert.deepEqual([work.lost, work.missingSince], [0, undefined]);
	const later = {running: 2, unanswered: 3, suspected: 1};
	assert.equal(computeWork(complete, later).lost, 1);
});

test('an upstream that runs a suspected request does not seem to count the request of its report', () => {
	const work = computeWork({running: 2, unanswered: 2, suspected: 1});
	assert.deepEqual([work.lost, work.includesOwnRequest], [0, false]);
});

test('a suspected request is not foreign', () => {
	const work = computeWork({running: 4, unanswered: 2, suspected: 1});
	assert.equal(work.foreignRequests, 1);
});

test('an upstream that reports only the request of its report is idle', () => {
	assert.equal(computeWork(complete, {running: 1, unanswered: 2}).isIdle, true);
	assert.equal(computeWork(complete).isIdle, false);
});

test('requests from before a restart of the gate are foreign', () => {
	assert.equal(computeWork({running: 5, unanswered: 0}).foreignRequests, 4);
});

test('a refusal need not count the request that it refuses', () => {
	const refusal = {running: 2, unanswered: 2, isRefusal: true};
	assert.equal(computeWork(complete, refusal).lost, 0);
	const foreign = {running: 3, unanswered: 2, isRefusal: true};
	assert.equal(computeWork(foreign).includesOwnRequest, false);
});

test('a report is as old as it may have waited to be read', () => {
	const load = {inFlight: 1, queued: 0};
	const report = {load, unanswered: 0, read: 0};
	assert.equal(computeUpstreamWork(undefined, report, 500).at, 500);
	const late = {...report, waitedMs: 200};
	assert.equal(computeUpstreamWork(undefined, late, 500).at, 300);
});
