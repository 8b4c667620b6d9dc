import assert from 'node:assert/strict';
import test from 'node:test';
import {startPostPollTimer} from './start-post-poll-timer.js';

test('a timer that is due fires after the sockets were read', (t) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	const immediates: Array<() => void> = [];
	t.mock.method(globalThis, 'setImmediate', (callback: () => void) => {
		immediates.push(callback);
	});
	let fired = 0;
	startPostPollTimer(() => {
		fired++;
	}, 250);
	t.mock.timers.tick(250);
	assert.equal(fired, 0);
	assert.equal(immediates.length, 1);
	immediates[0]!();
	assert.equal(fired, 1);
});
