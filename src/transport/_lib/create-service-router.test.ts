import assert from 'node:assert/strict';
import type {RequestListener} from 'node:http';
import test, {type TestContext} from 'node:test';
import {createSampleAttempt} from '../../../harness/create-sample-attempt.js';
import type {Candidate} from '../../protocol/member.js';
import {createForwarder} from '../create-forwarder.js';
import type {Logger} from '../create-logger.js';
import {startGateTask} from '../start-gate-task.js';
import {createCancelSource} from './create-cancel-source.js';
import {createServiceRouter} from './create-service-router.js';
import {runRequest} from './run-request.js';
import {startServer} from './start-server.js';

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

function createCandidate(host: string, address = `${host}:1`): Candidate {
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

/** Number of requests; more failures than a host needs to be left out. */
const requests = 24;

/** Starts gates, which are attempted in order by each request, and returns a function that runs a request. */
async function startGates(
	t: TestContext,
	listeners: Readonly<Record<string, RequestListener>>,
) {
	const lines: Line[] = [];
	const logger = createRecordingLogger(lines);
	const now = (): number => 0;
	const forwarder = createForwarder({now});
	t.after(async () => forwarder.stop());
	const hosts: Candidate[] = [];
	for (const [host, listener] of Object.entries(listeners)) {
		const server = await startServer('127.0.0.1:0', listener);
		t.after(async () => server.stop());
		hosts.push(createCandidate(host, server.address));
	}

	const router = createServiceRouter({
		name: 'own',
		dataCentre: 'abdali',
		gate: startGateTask({logger, now}),
		forwarder,
		logger,
		now,
		random: () => 0.5,
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
	const members = hosts.map(({host, address}) => ({
		...self,
		name: host,
		address,
	}));

	/** Runs a request until its attempts have all ended. */
	async function run(source = createCancelSource()): Promise<string> {
		let picks = 0;
		let ends = 0;
		let finish!: () => void;
		const haveEnded = new Promise<void>((resolve) => {
			finish = resolve;
		});
		const end = await runRequest({
			parameters: {
				repeatable: true,
				isNested: false,
				maxAttempts: hosts.length,
				deadlineAt: 60_000,
			},
			template: {...createSampleAttempt({service}), idPrefix: 'a'},
			signal: source.signal,
			pickGate() {
				const host = hosts[picks]!;
				picks++;
				const candidates = new Map([[service, [host]]]);
				router.updateMembers({self, members, candidates});
				return router.select(service, undefined).pickGate();
			},
			createTraceparent: () => undefined,
			onAttemptEnd(attempt) {
				router.recordAttempt(attempt, now());
				ends++;
				if (ends === picks) {
					finish();
				}
			},
			hasAvailableHost: () => true,
			readRetryBudget: () => 1,
			spendRetryBudget() {
				// The budget does not limit the test.
			},
			now,
			random: () => 0.5,
		});
		await haveEnded;
		return end.outcome;
	}

	return {lines, run};
}

// Regression: a healthy host was left out, as its attempts were abandoned for the answers of another host.
test('a host is not left out for attempts that were abandoned as another one was answered', async (t) => {
	let answer!: () => void;
	const {lines, run} = await startGates(t, {
		doubting(_request, response) {
			response.writeEarlyHints({
				link: '</>; rel=self',
				'boragehitch-reason': 'unanswered',
			});
			answer = () => {
				response.setHeader('boragehitch-outcome', 'answered');
				response.end('done');
			};
		},
		healthy() {
			answer();
		},
	});
	for (let count = 0; count < requests; count++) {
		assert.equal(await run(), 'answered');
	}

	assert.deepEqual(lines, []);
});

// Regression: a host was left out because clients disconnected before its answers.
test('a host is not left out for clients that disconnect', async (t) => {
	let source = createCancelSource();
	const {lines, run} = await startGates(t, {
		healthy() {
			source.abort();
		},
	});
	for (let count = 0; count < requests; count++) {
		source = createCancelSource();
		assert.equal(await run(source), 'unknown');
	}

	assert.deepEqual(lines, []);
});

// Guards against taking every attempt that a node ends for a cancelled one.
test('a host that breaks connections is left out', async (t) => {
	const {lines, run} = await startGates(t, {
		failing(request) {
			request.destroy();
		},
	});
	for (let count = 0; count < requests; count++) {
		assert.equal(await run(), 'unknown');
	}

	assert.deepEqual(lines[0], {message: 'host left out', reason: 'failing'});
});
