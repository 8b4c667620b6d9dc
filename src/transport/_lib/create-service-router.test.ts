import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleAttempt} from '../../../harness/create-sample-attempt.js';
import type {Candidate} from '../../protocol/member.js';
import {createForwarder} from '../create-forwarder.js';
import type {Logger} from '../create-logger.js';
import {startGateTask} from '../start-gate-task.js';
import {createServiceRouter} from './create-service-router.js';

type Line = {readonly message: string; readonly reason: unknown};

function createRecordingLogger(lines: Line[]): Logger {
	const record: Logger['info'] = (message, fields = {}) => {
		lines.push({message, reason: fields.reason});
	};

	const logger: Logger = {
		error: record,
		warn: record,
		info: record,
		debug: record,
		child: () => logger,
	};
	return logger;
}

const service = 'pricebook';

function createCandidate(host: string): Candidate {
	const address = `${host}:1`;
	return {host, address, dataCentre: 'abdali', slots: 6, sinceMs: 0};
}

test('an unresponsive host gets no further attempts, and its ejection is logged when an attempt ends', () => {
	const lines: Line[] = [];
	const logger = createRecordingLogger(lines);
	let at = 0;
	const now = (): number => at;
	const router = createServiceRouter({
		name: 'own',
		dataCentre: 'abdali',
		gate: startGateTask({logger, now}),
		forwarder: createForwarder(),
		logger,
		now,
		random: () => 0.99,
	});
	const self = {
		name: 'own',
		dataCentre: 'abdali',
		address: 'own:1',
		incarnation: 0,
		sequence: 0,
		state: 'alive',
		upstreams: [],
	} as const;
	router.updateMembers({
		self,
		members: ['silent', 'lively'].map((name) => ({...self, name})),
		candidates: new Map([[service, [createCandidate('silent')]]]),
	});
	const gate = router.select(service, undefined).pickGate();
	assert.ok(typeof gate !== 'string');
	router.updateMembers({
		self,
		members: ['silent', 'lively'].map((name) => ({...self, name})),
		candidates: new Map([
			[service, ['silent', 'lively'].map((host) => createCandidate(host))],
		]),
	});

	at = 700;
	for (let pick = 0; pick < 5; pick++) {
		const next = router.select(service, undefined).pickGate();
		assert.equal(typeof next === 'string' ? next : next.host.host, 'lively');
	}

	assert.deepEqual(lines, []);
	router.recordAttempt(
		{
			number: 1,
			gate,
			attempt: createSampleAttempt({service}),
			result: {kind: 'lost', reason: 'connection-lost'},
			startedAt: 0,
			firstByteAt: 2,
		},
		at,
	);
	assert.deepEqual(lines, [{message: 'host left out', reason: 'unreachable'}]);
});
