import assert from 'node:assert/strict';
import test from 'node:test';
import {
	decideLostRequest,
	type LostRequestInput,
} from './decide-lost-request.js';

const now = 10_000;
const busy = {
	at: now,
	isIdle: false,
	missingSince: undefined,
	missingReports: 0,
};
const missing = {...busy, missingSince: now - 200, missingReports: 8};
const overdue: LostRequestInput = {
	now,
	sentAt: now - 250,
	expectedMs: 100,
	objectiveMs: 500,
	repeatable: true,
	work: undefined,
	probedAt: 0,
};

test('an upstream is probed when no recent report covers an overdue request', () => {
	assert.equal(decideLostRequest(overdue), 'probe');
	assert.equal(decideLostRequest({...overdue, probedAt: now - 900}), 'wait');
	assert.equal(decideLostRequest({...overdue, repeatable: false}), 'wait');
	assert.equal(decideLostRequest({...overdue, expectedMs: 150}), 'wait');
	assert.equal(decideLostRequest({...overdue, objectiveMs: 800}), 'wait');
	const old = {...busy, at: now - 245};
	assert.equal(decideLostRequest({...overdue, work: old}), 'probe');
});

test('a request that the upstream reports as in progress is slow, not lost', () => {
	assert.equal(decideLostRequest({...overdue, work: busy}), 'wait');
	const slow = {...overdue, sentAt: now - 5000};
	assert.equal(decideLostRequest({...slow, work: busy}), 'wait');
});

test('a request at an idle upstream is lost', () => {
	const work = {...busy, isIdle: true};
	assert.equal(decideLostRequest({...overdue, work}), 'silent');
});

test('a request that consecutive reports lack is lost', () => {
	assert.equal(decideLostRequest({...overdue, work: missing}), 'silent');
});

// A request whose answer is in transit is missing in the report returned with another answer.
test('a request that is missing in few reports, or only briefly, is not lost', () => {
	const few = {...missing, missingReports: 4};
	assert.equal(decideLostRequest({...overdue, work: few}), 'wait');
	const brief = {...missing, missingSince: now - 90};
	assert.equal(decideLostRequest({...overdue, work: brief}), 'wait');
	const before = {...missing, missingSince: now - 245};
	assert.equal(decideLostRequest({...overdue, work: before}), 'wait');
});

test('a lost request is detected while another host can still answer in time', () => {
	const slow = {...overdue, expectedMs: 400, work: missing};
	const late = {...missing, missingSince: now - 189};
	assert.equal(
		decideLostRequest({...slow, sentAt: now - 199, work: late}),
		'wait',
	);
	assert.equal(decideLostRequest({...slow, sentAt: now - 210}), 'silent');
});

test('a request is not considered lost before its answer is due', () => {
	const early = {...overdue, expectedMs: 150, work: missing};
	assert.equal(decideLostRequest({...early, objectiveMs: 900}), 'wait');
});
