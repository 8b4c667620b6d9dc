import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleAttempt} from '../../../harness/create-sample-attempt.js';
import {createCancelSource} from './create-cancel-source.js';
import {runRequest} from './run-request.js';

test('a request whose client has left before it starts is not sent', async () => {
	const source = createCancelSource();
	source.abort();
	let picked = 0;
	const attempt = createSampleAttempt({repeatable: true, method: 'GET'});
	await runRequest({
		parameters: {
			repeatable: true,
			isNested: false,
			maxAttempts: 1,
			deadlineAt: 100,
		},
		template: {...attempt, idPrefix: 'a'},
		signal: source.signal,
		pickGate() {
			picked++;
			return 'no-upstream';
		},
		createTraceparent: () => undefined,
		onAttemptEnd() {
			// Not checked.
		},
		hasAvailableHost: () => true,
		readRetryBudget: () => 1,
		spendRetryBudget() {
			// Not checked.
		},
		now: () => 0,
		random: () => 0.5,
	});
	assert.equal(picked, 0);
});
