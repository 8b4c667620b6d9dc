import assert from 'node:assert/strict';
import test from 'node:test';
import type {RequestEvent} from '../../protocol/observer.js';
import type {Logger} from '../create-logger.js';
import {createAccessLog} from './create-access-log.js';

const event: RequestEvent = {
	requestId: 'a',
	route: 'prices',
	team: '',
	service: 'pricebook',
	method: 'GET',
	outcome: 'not-run',
	reason: 'saturated',
	status: 0,
	attempts: 1,
	lagMs: 0,
	startedAtMs: 0,
	durationMs: 3.4,
	parentTraceparent: undefined,
	traceparent: undefined,
};

function createLog() {
	const lines: Array<{message: string; fields: unknown}> = [];
	const put = (message: string, fields: unknown = {}): void => {
		lines.push({message, fields});
	};

	const logger: Logger = {
		error: put,
		warn: put,
		info: put,
		debug: put,
		child: () => logger,
	};
	let at = 0;
	const observer = createAccessLog({
		logger,
		readVersion: () => 12,
		linesPerSecond: 10,
		now: () => at,
	});
	return {
		lines,
		observer,
		wait(ms: number) {
			at += ms;
		},
	};
}

test('a refusal is logged with what decided it', () => {
	const {lines, observer} = createLog();
	observer.onRequest?.(event);
	assert.deepEqual(lines, [
		{
			message: 'request ended',
			fields: {
				requestId: 'a',
				route: 'prices',
				service: 'pricebook',
				version: 12,
				outcome: 'not-run',
				reason: 'saturated',
				status: 0,
				attempts: 1,
				lagMs: 0,
				durationMs: 3,
			},
		},
	]);
});

test('an attempt that was old when it came is logged, answered or not', () => {
	const {lines, observer} = createLog();
	const attempt = {
		...event,
		requestId: 'b',
		attemptId: 'b/1',
		outcome: 'answered' as const,
		reason: undefined,
		status: 200,
		queuedMs: 0,
		unreadMs: 12,
	};
	observer.onGate?.({...attempt, ageMs: 40});
	observer.onGate?.({...attempt, ageMs: undefined});
	assert.deepEqual(lines, []);

	observer.onGate?.({...attempt, ageMs: 6200});
	assert.deepEqual(lines, [
		{
			message: 'gate ended attempt',
			fields: {
				requestId: 'b',
				service: 'pricebook',
				outcome: 'answered',
				reason: undefined,
				status: 200,
				ageMs: 6200,
				unreadMs: 12,
				queuedMs: 0,
				durationMs: 3,
			},
		},
	]);
});

test('answered requests are sampled by their identifier', () => {
	const {lines, observer, wait} = createLog();
	for (let index = 0; index < 2000; index++) {
		wait(200);
		observer.onRequest?.({
			...event,
			requestId: `request-${index}`,
			outcome: 'answered',
			status: 200,
		});
	}

	assert.ok(lines.length > 4 && lines.length < 40, String(lines.length));
});

test('lines are bounded, and those dropped are counted', () => {
	const {lines, observer, wait} = createLog();
	for (let index = 0; index < 100; index++) {
		observer.onRequest?.(event);
	}

	assert.equal(lines.length, 10);
	wait(1000);
	observer.onRequest?.(event);
	assert.deepEqual(lines.at(-2), {
		message: 'log lines dropped',
		fields: {count: 90},
	});
});
