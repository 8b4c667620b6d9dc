import assert from 'node:assert/strict';
import test from 'node:test';
import {computeUnreadTime} from './compute-unread-time.js';

test('only the lag of a late node counts as time unread', () => {
	assert.equal(computeUnreadTime(0), 0);
	assert.equal(computeUnreadTime(20), 0);
	assert.equal(computeUnreadTime(120), 120);
});
