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

test('an upstream is asked for its load when nothing else tells of it', () => {
	assert.equal(decideLostRequest(overdue), 'probe');
	assert.equal(decideLostRequest({...overdue, probedAt: now - 900}), 'wait');
	assert.equal(decideLostRequest({...overdue, repeatable: false}), 'wait');
	assert.equal(decideLostRequest({...overdue, expectedMs: 150}), 'wait');
	assert.equal(decideLostRequest({...overdue, objectiveMs: 800}), 'wait');
	const old = {...busy, at: now - 245};
	assert.equal(decideLostRequest({...overdue, work: old}), 'probe');
});

test('a request that the upstream works on is slow, not silent', () => {
	assert.equal(decideLostRequest({...overdue, work: busy}), 'wait');
	const slow = {...overdue, sentAt: now - 5000};
	assert.equal(decideLostRequest({...slow, work: busy}), 'wait');
});

test('a request at an upstream that works on nothing is silent', () => {
	const work = {...busy, isIdle: true};
	assert.equal(decideLostRequest({...overdue, work}), 'silent');
});

test('a request that report after report lacks is silent', () => {
	assert.equal(decideLostRequest({...overdue, work: missing}), 'silent');
});

// An answer on its way lacks in the report that comes with another one.
test('a request that lacks in a few reports, or for a moment, is not silent', () => {
	const few = {...missing, missingReports: 4};
	assert.equal(decideLostRequest({...overdue, work: few}), 'wait');
	const brief = {...missing, missingSince: now - 90};
	assert.equal(decideLostRequest({...overdue, work: brief}), 'wait');
	const before = {...missing, missingSince: now - 245};
	assert.equal(decideLostRequest({...overdue, work: before}), 'wait');
});

test('silence is found while another host can still be in time', () => {
	const slow = {...overdue, expectedMs: 400, work: missing};
	const late = {...missing, missingSince: now - 189};
	assert.equal(
		decideLostRequest({...slow, sentAt: now - 199, work: late}),
		'wait',
	);
	assert.equal(decideLostRequest({...slow, sentAt: now - 210}), 'silent');
});

test('an answer is not missed before it could have come', () => {
	const early = {...overdue, expectedMs: 150, work: missing};
	assert.equal(decideLostRequest({...early, objectiveMs: 900}), 'wait');
});
