import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import test from 'node:test';
import {createSampleAttempt} from '../../../harness/create-sample-attempt.js';
import type {RequestParameters} from '../../coordination/request-state.js';
import type {Attempt, ForwardResult} from '../../protocol/attempt.js';
import type {CancelSignal} from '../../protocol/cancel-signal.js';
import {createCancelSource} from './create-cancel-source.js';
import type {GateClient} from './gate-client.js';
import {runRequest, type AttemptEnd, type RequestEnd} from './run-request.js';
import {waitForTurns} from './wait-for-turns.js';

/** Event loop turns after which a request whose deadline timer has fired has ended. */
const turnsToEnd = 4;

/** Creates a gate that reads the first chunk of a body and then refuses the attempt as leaving. */
function createLeavingGate(body: Readable, taken: string[]): GateClient {
	return {
		host: {
			host: 'abdali-1',
			address: '127.0.0.1:1',
			dataCentre: 'abdali',
			slots: 1,
			sinceMs: 0,
		},
		isLocal: true,
		readStamp: () => undefined,
		readGateTime: () => undefined,
		readNotice: () => undefined,
		async runAttempt() {
			const chunk = await new Promise<Uint8Array>((resolve) => {
				body.once('data', resolve);
			});
			body.pause();
			taken.push(Buffer.from(chunk).toString());
			return {
				kind: 'not-run',
				reason: 'leaving',
				retryAfterSeconds: 1,
				load: undefined,
				stamp: undefined,
			};
		},
		ask: async () => 'failed',
		fetchAnswer: async () => ({kind: 'lost', reason: 'connection-lost'}),
		async cancel() {
			// Nothing to cancel.
		},
	};
}

/** Runs a request whose time stands still, at a gate. */
async function runAtGate(
	gate: GateClient,
	attempt: Attempt,
	parameters: Partial<RequestParameters> &
		Pick<RequestParameters, 'deadlineAt'>,
	{
		signal = createCancelSource().signal,
		onAttemptEnd = () => {
			// Most tests check only the end of the request.
		},
	}: {
		readonly signal?: CancelSignal | undefined;
		readonly onAttemptEnd?: (end: AttemptEnd) => void;
	} = {},
): Promise<RequestEnd> {
	return runRequest({
		parameters: {
			repeatable: attempt.repeatable,
			isNested: false,
			maxAttempts: 1,
			...parameters,
		},
		template: {...attempt, idPrefix: 'a'},
		signal,
		pickGate: () => gate,
		createTraceparent: () => undefined,
		onAttemptEnd,
		hasAvailableHost: () => true,
		readRetryBudget: () => 1,
		spendRetryBudget() {
			// No retry uses the budget.
		},
		now: () => 0,
		random: () => 0.5,
	});
}

test('a partially consumed body is not sent to another host', async () => {
	const body = Readable.from([Buffer.from('first'), Buffer.from('second')]);
	const taken: string[] = [];
	const end = await runAtGate(
		createLeavingGate(body, taken),
		createSampleAttempt({repeatable: false, method: 'POST', body}),
		{deadlineAt: 1000},
	);
	assert.equal(end.outcome, 'not-run');
	assert.deepEqual(taken, ['first']);
});

// Regression: a stopping node gave up a request at which its upstream was at work, as it had perhaps waited unread.
test('a response that comes between the earliest and the likely deadline is delivered', async (t) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	let respond!: (result: ForwardResult) => void;
	const gate: GateClient = {
		...createLeavingGate(Readable.from([]), []),
		runAttempt: async () =>
			new Promise((resolve) => {
				respond = resolve;
			}),
	};
	const ended = runAtGate(gate, createSampleAttempt(), {
		deadlineAt: 100,
		endsAt: 170,
	});
	t.mock.timers.tick(120);
	await waitForTurns(turnsToEnd);
	const answer = {status: 504, headers: {}, body: Buffer.from('late')};
	respond({kind: 'answered', ...answer, load: undefined, stamp: undefined});
	const end = await ended;
	assert.equal(end.outcome, 'answered');
});

test('a request that was not sent is refused by its earliest deadline', async (t) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	const gate: GateClient = {
		...createLeavingGate(Readable.from([]), []),
		isLocal: false,
		runAttempt: async () =>
			new Promise(() => {
				// The connection does not open.
			}),
	};
	const ended = runAtGate(gate, createSampleAttempt(), {
		deadlineAt: 100,
		endsAt: 170,
	});
	t.mock.timers.tick(100);
	const end = await ended;
	assert.equal(end.outcome, 'not-run');
});

/** Starts a request whose first attempt does not seem to be worked on, and waits for the second. */
async function startUnanswered(signal?: CancelSignal) {
	const attempts: Attempt[] = [];
	const responds: Array<(result: ForwardResult) => void> = [];
	const results = new Map<number, string>();
	const gate: GateClient = {
		...createLeavingGate(Readable.from([]), []),
		async runAttempt(attempt) {
			attempts.push(attempt);
			return new Promise((resolve) => {
				responds.push(resolve);
			});
		},
	};
	const parameters = {deadlineAt: 1000, maxAttempts: 2};
	const ended = runAtGate(gate, createSampleAttempt(), parameters, {
		signal,
		onAttemptEnd({number, result}) {
			results.set(
				number,
				result.kind === 'answered'
					? result.kind
					: `${result.kind} ${result.reason}`,
			);
		},
	});
	attempts[0]!.onUnanswered?.();
	while (attempts.length < 2) {
		await waitForTurns(1);
	}

	return {
		ended,
		responds,
		results,
		readAborted: () => attempts.map((attempt) => attempt.signal.aborted),
	};
}

test('the first of two answers is delivered, and the other attempt cancelled at once', async () => {
	for (const first of [0, 1]) {
		const {ended, responds, readAborted} = await startUnanswered();
		const body = Buffer.from('first');
		const answer = {status: 200, headers: {}, body};
		responds[first]!({
			kind: 'answered',
			...answer,
			load: undefined,
			stamp: undefined,
		});
		const end = await ended;
		assert.equal(end.outcome === 'answered' && end.answer.body, body);
		assert.deepEqual(readAborted(), [first === 1, first === 0]);
	}
});

test('a client that disconnects cancels both attempts at once', async () => {
	const source = createCancelSource();
	const {ended, readAborted} = await startUnanswered(source.signal);
	source.abort();
	const end = await ended;
	assert.equal(end.outcome, 'unknown');
	assert.deepEqual(readAborted(), [true, true]);
});

const notSent: ForwardResult = {
	kind: 'not-run',
	reason: 'not-sent',
	retryAfterSeconds: 1,
	load: undefined,
	stamp: undefined,
};

// Regression: a host was taken for failing or unreachable because its attempts were abandoned.
test('an attempt that is abandoned for the answer of another one is reported as cancelled', async () => {
	const lost: ForwardResult = {kind: 'lost', reason: 'connection-lost'};
	const ends = [
		{end: lost, described: 'lost cancelled'},
		{end: notSent, described: 'not-run cancelled'},
	];
	for (const {end, described} of ends) {
		const {ended, responds, results} = await startUnanswered();
		const answer = {status: 200, headers: {}, body: Buffer.from('first')};
		responds[0]!({
			kind: 'answered',
			...answer,
			load: undefined,
			stamp: undefined,
		});
		await ended;
		responds[1]!(end);
		await waitForTurns(1);
		assert.equal(results.get(2), described);
	}
});

test('a suspected attempt is reported as unanswered only if another one was answered', async () => {
	const lost: ForwardResult = {kind: 'lost', reason: 'connection-lost'};
	const answered = await startUnanswered();
	const answer = {status: 200, headers: {}, body: Buffer.from('second')};
	answered.responds[1]!({
		kind: 'answered',
		...answer,
		load: undefined,
		stamp: undefined,
	});
	await answered.ended;
	answered.responds[0]!(lost);
	await waitForTurns(1);
	assert.equal(answered.results.get(1), 'lost unanswered');

	const source = createCancelSource();
	const left = await startUnanswered(source.signal);
	source.abort();
	await left.ended;
	left.responds[0]!(lost);
	left.responds[1]!(notSent);
	await waitForTurns(1);
	assert.equal(left.results.get(1), 'lost cancelled');
	assert.equal(left.results.get(2), 'not-run cancelled');
});

test('an attempt that is still open at the deadline is not reported as cancelled', async (t) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	let respond!: (result: ForwardResult) => void;
	const gate: GateClient = {
		...createLeavingGate(Readable.from([]), []),
		runAttempt: async () =>
			new Promise((resolve) => {
				respond = resolve;
			}),
	};
	const results: ForwardResult[] = [];
	const parameters = {deadlineAt: 100};
	const ended = runAtGate(gate, createSampleAttempt(), parameters, {
		onAttemptEnd({result}) {
			results.push(result);
		},
	});
	t.mock.timers.tick(110);
	await ended;
	const lost: ForwardResult = {kind: 'lost', reason: 'connection-lost'};
	respond(lost);
	await waitForTurns(1);
	assert.deepEqual(results, [lost]);
});
