import assert from 'node:assert/strict';
import test from 'node:test';
import {computeUnreadTime} from './compute-unread-time.js';

test('only an event loop lag above the threshold counts as unread time', () => {
	assert.equal(computeUnreadTime(0), 0);
	assert.equal(computeUnreadTime(20), 0);
	assert.equal(computeUnreadTime(120), 120);
});
