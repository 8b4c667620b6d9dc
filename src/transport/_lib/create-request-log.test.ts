import assert from 'node:assert/strict';
import test from 'node:test';
import type {Logger} from '../create-logger.js';
import {createRequestLog} from './create-request-log.js';

test('logs unanswered requests with their identifier, only at level debug', () => {
	const lines: unknown[] = [];
	const add = (message: string, fields?: unknown) => {
		lines.push([message, fields]);
	};

	const logger: Logger = {
		error: add,
		warn: add,
		info: add,
		debug: add,
		child: () => logger,
	};
	const event = {
		requestId: 'r1',
		team: 'kitchens',
		service: 'kitchens/pricebook',
		outcome: 'not-run' as const,
		reason: 'pending' as const,
		attempts: 0,
		lagMs: 0,
		isReturned: false,
		status: 0,
		startedAtMs: 0,
		durationMs: 1,
		parentTraceparent: undefined,
		traceparent: undefined,
		route: 'prices',
		method: 'GET',
	};
	assert.deepEqual(createRequestLog(logger, 'info'), {});
	const {onRequest} = createRequestLog(logger, 'debug');
	onRequest?.({...event, outcome: 'answered', reason: undefined});
	onRequest?.(event);
	const {requestId, team, service, outcome, reason, attempts} = event;
	assert.deepEqual(lines, [
		[
			'request not answered',
			{requestId, team, service, outcome, reason, attempts},
		],
	]);
});
