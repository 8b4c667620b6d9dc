import assert from 'node:assert/strict';
import test from 'node:test';
import type {RequestEvent} from '../../protocol/observer.js';
import type {Logger} from '../create-logger.js';
import {createAccessLog} from './create-access-log.js';

const event: RequestEvent = {
	requestId: 'a',
	readFingerprint: () => 'lamb',
	route: 'prices',
	team: '',
	service: 'pricebook',
	method: 'GET',
	outcome: 'not-run',
	reason: 'saturated',
	status: 0,
	attempts: 1,
	lagMs: 0,
	isReturned: false,
	startedAtMs: 0,
	durationMs: 3.4,
	parentTraceparent: undefined,
	traceparent: undefined,
};

function createLog() {
	const lines: Array<{message: string; fields: Record<string, unknown>}> = [];
	const put: Logger['info'] = (message, fields = {}) => {
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

test('a refused request is logged with its reason', () => {
	const {lines, observer} = createLog();
	observer.onRequest?.(event);
	assert.deepEqual(lines, [
		{
			message: 'request ended',
			fields: {
				requestId: 'a',
				fingerprint: 'lamb',
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

/** An answered attempt that is not in the sample. */
const answered = {
	...event,
	requestId: 'b',
	readFingerprint: () => 'beef',
	attemptId: 'b/1',
	outcome: 'answered' as const,
	reason: undefined,
	status: 200,
};

const gateAttempt = {
	...answered,
	queuedMs: 0,
	unreadMs: 12,
	ageMs: undefined,
	isForwarded: true,
	sendWaitMs: 2,
};

test('an attempt that is old at admission is logged even if it was answered', () => {
	const {lines, observer} = createLog();
	observer.onGate?.({...gateAttempt, ageMs: 40});
	observer.onGate?.(gateAttempt);
	assert.deepEqual(lines, []);

	observer.onGate?.({...gateAttempt, ageMs: 6200});
	assert.deepEqual(lines, [
		{
			message: 'gate ended attempt',
			fields: {
				requestId: 'b',
				fingerprint: 'beef',
				service: 'pricebook',
				outcome: 'answered',
				reason: undefined,
				status: 200,
				isForwarded: true,
				ageMs: 6200,
				unreadMs: 12,
				queuedMs: 0,
				sendWaitMs: 2,
				durationMs: 3,
			},
		},
	]);
});

test('an attempt that waited long for a connection is logged even if it was answered', () => {
	const {lines, observer} = createLog();
	const attempt = {...answered, attempt: 1, host: 'abdali-1', hadStamp: false};
	observer.onAttempt?.({...attempt, sendWaitMs: 3});
	observer.onGate?.({...gateAttempt, sendWaitMs: undefined});
	assert.equal(lines.length, 0);

	observer.onAttempt?.({...attempt, sendWaitMs: 700});
	observer.onGate?.({...gateAttempt, sendWaitMs: 600});
	assert.deepEqual(
		lines.map(({message, fields}) => [message, fields.sendWaitMs]),
		[
			['attempt ended', 700],
			['gate ended attempt', 600],
		],
	);
});

test('answered requests are sampled by request identifier', () => {
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

test('lines are rate limited, and dropped lines are counted', () => {
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

test('requests beyond the line limit are not hashed', () => {
	const {observer} = createLog();
	let hashed = 0;
	const readFingerprint = (): string => {
		hashed++;
		return 'lamb';
	};

	for (let number = 0; number < 25; number++) {
		observer.onRequest?.({...event, readFingerprint});
	}

	assert.equal(hashed, 10);
});
