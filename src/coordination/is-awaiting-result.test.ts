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
		assert.ok(isAwaitingResult({phase, isSent: true, earlier: []}));
		assert.ok(!isAwaitingResult({phase, isSent: false, earlier: []}));
	}
});

test('no attempt is running between two attempts', () => {
	for (const phase of ['new', 'waiting-to-send', 'done'] as const) {
		assert.ok(!isAwaitingResult({phase, isSent: true, earlier: []}));
	}
});

test('an earlier attempt that is still open may be running', () => {
	for (const phase of ['attempting', 'waiting-to-send'] as const) {
		assert.ok(isAwaitingResult({phase, isSent: false, earlier: [1]}));
	}
});
