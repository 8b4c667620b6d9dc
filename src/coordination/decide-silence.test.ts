import assert from 'node:assert/strict';
import test from 'node:test';
import {decideSilence, type SilenceInput} from './decide-silence.js';

const overdue: SilenceInput = {
	unansweredMs: 250,
	expectedMs: 100,
	objectiveMs: 500,
	lost: undefined,
	sinceProbeMs: Number.POSITIVE_INFINITY,
	repeatable: true,
};

test('an upstream is asked for its load when nothing else tells of it', () => {
	assert.equal(decideSilence(overdue), 'probe');
	assert.equal(decideSilence({...overdue, sinceProbeMs: 900}), 'wait');
	assert.equal(decideSilence({...overdue, repeatable: false}), 'wait');
	assert.equal(decideSilence({...overdue, expectedMs: 150}), 'wait');
	assert.equal(decideSilence({...overdue, objectiveMs: 800}), 'wait');
});

test('a request that the upstream works on is slow, not silent', () => {
	assert.equal(decideSilence({...overdue, lost: 0}), 'wait');
	assert.equal(
		decideSilence({...overdue, unansweredMs: 5000, lost: 0}),
		'wait',
	);
});

test('a request that the upstream does not work on is silent', () => {
	assert.equal(decideSilence({...overdue, lost: 1}), 'silent');
});

test('silence is found while another host can still be in time', () => {
	const slow = {...overdue, expectedMs: 400, lost: 1};
	assert.equal(decideSilence({...slow, unansweredMs: 199}), 'wait');
	assert.equal(decideSilence({...slow, unansweredMs: 200}), 'silent');
});

test('an answer is not missed before it could have come', () => {
	const early = {...overdue, unansweredMs: 150, lost: 1};
	assert.equal(decideSilence(early), 'wait');
	const quick = {...overdue, unansweredMs: 20, expectedMs: 2, lost: 1};
	assert.equal(decideSilence(quick), 'wait');
});
