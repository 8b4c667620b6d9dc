import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import test from 'node:test';
import {waitForStop} from './wait-for-stop.js';

test('a second signal does not terminate a node that is stopping', async () => {
	// Replaces the process, which is an EventEmitter, too.
	// eslint-disable-next-line unicorn/prefer-event-target
	const source = new EventEmitter();
	const stopped = waitForStop(source);
	source.emit('SIGTERM');
	await stopped;
	// Without a listener the signal would terminate the process at once.
	assert.ok(source.emit('SIGTERM'));
	assert.ok(source.emit('SIGINT'));
});
