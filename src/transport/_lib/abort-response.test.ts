import assert from 'node:assert/strict';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import test from 'node:test';
import {createSilentLogger} from '../../../harness/create-silent-logger.js';
import {abortResponse, type AbortCause} from './abort-response.js';

/** Aborts a response and returns what is logged, with the level. */
function logAbort(cause: AbortCause): readonly unknown[] {
	const response = new ServerResponse(new IncomingMessage(new Socket()));
	const lines: unknown[] = [];
	abortResponse(response, {
		cause,
		requestId: 'a',
		logger: {
			...createSilentLogger(),
			warn(message, fields) {
				lines.push(['warn', message, fields]);
			},
			debug(message, fields) {
				lines.push(['debug', message, fields]);
			},
		},
	});
	assert.ok(response.destroyed);
	return lines.flat();
}

test('logs a warning with the cause when the node closes a connection unanswered', () => {
	const error = new Error('response truncated');
	assert.deepEqual(logAbort({kind: 'failed', error}), [
		'warn',
		'connection closed unanswered',
		{
			requestId: 'a',
			isPartSent: false,
			cause: 'failed',
			error: 'Error: response truncated',
		},
	]);
});

test('logs no warning when the client has closed the connection', () => {
	const error = Object.assign(new Error('Premature close'), {
		code: 'ERR_STREAM_PREMATURE_CLOSE',
	});
	const causes: AbortCause[] = [{kind: 'failed', error}, {kind: 'sender-left'}];
	assert.deepEqual(
		causes.map((cause) => logAbort(cause)[0]),
		['debug', 'debug'],
	);
});
