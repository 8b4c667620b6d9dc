import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import test from 'node:test';
import {createSampleAttempt} from '../../../harness/create-sample-attempt.js';
import {createCancelSource} from './create-cancel-source.js';
import type {GateClient} from './gate-client.js';
import {runRequest} from './run-request.js';

/** Creates a gate that takes the first bytes of a body and refuses as leaving. */
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
			// Nothing is left to cancel.
		},
	};
}

test('the rest of a body is not sent to another host as if it were the whole', async () => {
	const body = Readable.from([Buffer.from('first'), Buffer.from('second')]);
	const taken: string[] = [];
	const gate = createLeavingGate(body, taken);
	const {repeatable, ...template} = createSampleAttempt({
		repeatable: false,
		method: 'POST',
		body,
	});
	const end = await runRequest({
		parameters: {repeatable, isNested: false, maxAttempts: 1, deadlineAt: 1000},
		template: {...template, repeatable, idPrefix: 'a'},
		signal: createCancelSource().signal,
		pickGate: () => gate,
		createTraceparent: () => undefined,
		onAttemptEnd() {
			// The end of the request is what the test is about.
		},
		hasAvailableHost: () => true,
		readRetryBudget: () => 1,
		spendRetryBudget() {
			// Rerouting draws on no budget.
		},
		now: () => 0,
		random: () => 0.5,
	});
	assert.equal(end.outcome, 'not-run');
	assert.deepEqual(taken, ['first']);
});
