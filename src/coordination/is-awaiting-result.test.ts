import assert from 'node:assert/strict';
import test from 'node:test';
import {isAwaitingResult} from './is-awaiting-result.js';

test('an attempt that was sent may be running until its result is known', () => {
	for (const phase of [
		'attempting',
		'asking',
		'fetching',
		'waiting-to-ask',
	] as const) {
		assert.ok(isAwaitingResult({phase, isSent: true}));
		assert.ok(!isAwaitingResult({phase, isSent: false}));
	}
});

test('no attempt is running between two attempts', () => {
	for (const phase of ['new', 'waiting-to-send', 'done'] as const) {
		assert.ok(!isAwaitingResult({phase, isSent: true}));
	}
});
