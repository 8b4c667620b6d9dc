import assert from 'node:assert/strict';
import test from 'node:test';
import {pickEvicted} from './pick-evicted.js';

const call = {isNested: true, isLate: false, priority: 9, dueAt: 9000};
const urgent = {isLate: false, priority: 0, dueAt: 900};
const early = {isLate: false, priority: 2, dueAt: 300};
const due = {isLate: false, priority: 2, dueAt: 500};
const late = {isLate: true, priority: 0, dueAt: 10};

test('a late request is evicted before one that can be in time', () => {
	assert.equal(pickEvicted([urgent, late, due, call]), late);
});

test('among requests in time, the lowest priority is evicted, and of these the one due last', () => {
	assert.equal(pickEvicted([early, urgent, due]), due);
});

test('calls are never evicted, so that one does not cost the work of another request', () => {
	assert.equal(pickEvicted([call]), undefined);
});
