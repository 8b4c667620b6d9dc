import assert from 'node:assert/strict';
import test from 'node:test';
import {computeSocketWait} from './compute-socket-wait.js';

// The larger of the two counted, so that each hid the other.
test('the wait for a connection to be accepted and the wait to be read from it add up', () => {
	const accepted = {acceptWaitMs: 300, readableMs: 280};
	assert.equal(computeSocketWait(280, accepted), 580);
});

test('a request that comes later on its connection has not waited for it', () => {
	const accepted = {acceptWaitMs: 300, readableMs: 5000};
	assert.equal(computeSocketWait(20, accepted), 20);
	assert.equal(computeSocketWait(20), 20);
});
