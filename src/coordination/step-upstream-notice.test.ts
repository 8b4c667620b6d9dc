import assert from 'node:assert/strict';
import test from 'node:test';
import {stepUpstreamNotice} from './step-upstream-notice.js';

const load = {inFlight: 0, queued: 0, slots: 6};
const limited = {
	id: 'i-1',
	isLeaving: false,
	rateLimit: {perSecond: 10, waitMs: 0},
};
const leaving = {id: 'i-1', isLeaving: true};

test('a limit is cached until a report of its gate has none', () => {
	const held = stepUpstreamNotice(undefined, {...load, notice: limited}, 5);
	assert.deepEqual(held, {notice: limited, receivedAt: 5});
	assert.equal(stepUpstreamNotice(held, undefined, 6), held);
	assert.equal(stepUpstreamNotice(held, load, 6), undefined);
});

test('a leaving notice is kept when a restarted gate has lost it', () => {
	const held = stepUpstreamNotice(undefined, {...load, notice: leaving}, 5);
	assert.equal(stepUpstreamNotice(held, load, 6), held);
	const next = {...load, notice: {...limited, id: 'i-2'}};
	assert.equal(stepUpstreamNotice(held, next, 6)?.notice.id, 'i-2');
});
