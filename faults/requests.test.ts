import assert from 'node:assert/strict';
import test from 'node:test';
import type {RequestMessage} from '../src/coordination/request-state.js';
import {
	productMechanisms as product,
	type Mechanisms,
} from './_lib/requests/mechanisms.js';
import {runRequestCase} from './_lib/requests/run-request-case.js';
import {listRequestsCases} from './list-requests-cases.js';
import {runFaultCases} from './run-fault-cases.js';

function listFailures(cases: ReturnType<typeof listRequestsCases>) {
	return runFaultCases(cases)
		.filter(({violations}) => violations.length > 0)
		.map(
			({faultCase: {faults, step, seed}, violations}) =>
				`${faults.join('+')} at ${step}, seed ${seed}: ${violations.join(', ')}`,
		);
}

/** Replaces or drops messages to the state machine of a request. */
function mapMessages(
	change: (message: RequestMessage) => RequestMessage | undefined,
): Partial<Mechanisms> {
	return {
		stepRequest(state, message, context) {
			const changed = change(message);
			return changed
				? product.stepRequest(state, changed, context)
				: {state, effects: []};
		},
	};
}

type Ledger = ReturnType<Mechanisms['createLedger']>;

/** Overrides methods of each ledger. */
function overrideLedger(
	change: (ledger: Ledger) => Partial<Ledger>,
): Partial<Mechanisms> {
	return {
		createLedger(options) {
			const ledger = product.createLedger(options);
			return {...ledger, ...change(ledger)};
		},
	};
}

const naive: Readonly<
	Record<string, readonly [Partial<Mechanisms>, RegExp, number?]>
> = {
	'no ledger: every attempt received runs': [
		overrideLedger(() => ({admit: () => 'run'})),
		/ran \d times/v,
	],
	'ledger without stamps: attempts without a record run': [
		overrideLedger((ledger) => ({
			admit(attempt, now) {
				const answer = ledger.admit(attempt, now);
				return answer === 'stale' ? 'run' : answer;
			},
		})),
		/ran \d times|ended not-run but ran/v,
	],
	'the same epoch after a restart of a gate': [
		{
			createLedger: (options) =>
				product.createLedger({...options, epoch: 'same'}),
		},
		/ended not-run but ran|ran \d times/v,
	],
	'an ask that does not fence': [
		overrideLedger((ledger) => {
			const arrived = new Set<string>();
			return {
				admit(attempt, now) {
					arrived.add(attempt.id);
					return ledger.admit(attempt, now);
				},
				ask: (attempt, now) =>
					arrived.has(attempt.id) ? ledger.ask(attempt, now) : 'fenced',
			};
		}),
		/ended not-run but ran|ran \d times/v,
	],
	'attempts with a stale stamp taken for not run': [
		mapMessages((message) =>
			message.kind === 'ask-answered' && message.answer === 'stale'
				? {...message, answer: 'fenced'}
				: message,
		),
		/ended not-run but ran|ran \d times/v,
	],
	'lost attempts taken for not run': [
		mapMessages((message) =>
			message.kind === 'lost'
				? {...message, kind: 'ended', outcome: 'not-run', reason: 'not-sent'}
				: message,
		),
		/ran \d times/v,
	],
	'the last attempt decides the outcome': [
		{
			stepRequest: (state, message, context) =>
				product.stepRequest({...state, mayHaveRun: false}, message, context),
		},
		/ended not-run but ran/v,
		1,
	],
	'no ask after a missing response': [
		mapMessages((message) => (message.kind === 'silent' ? undefined : message)),
		/ended unknown/v,
	],
	'no deadline': [
		mapMessages((message) =>
			message.kind === 'deadline' ? undefined : message,
		),
		/has 0 ends|ended late/v,
	],
	'messages about earlier attempts taken for the current one': [
		{
			stepRequest(state, message, context) {
				const current =
					'attempt' in message
						? {...message, attempt: state.attempts}
						: message;
				return product.stepRequest(state, current, context);
			},
		},
		/ran \d times|ended not-run but ran|has \d ends/v,
		1,
	],
	'a leaving host admits attempts': [
		{
			decideAdmission: (input) =>
				product.decideAdmission({...input, state: 'ready'}),
		},
		/started after leaving/v,
	],
};

test('requests: the invariants hold in all cases of the matrix', () => {
	assert.deepEqual(listFailures(listRequestsCases()), []);
});

for (const [name, [change, expected, pairSeeds = 0]] of Object.entries(naive)) {
	test(`requests: the matrix fails with: ${name}`, () => {
		const mechanisms = {...product, ...change};
		const cases = listRequestsCases({pairSeeds, mechanisms});
		assert.ok(
			cases.some((one) => expected.test(listFailures([one]).join('\n'))),
		);
	});
}

test('requests: without faults all are answered, also with a naive mechanism', () => {
	const change = naive['lost attempts taken for not run']![0];
	for (const mechanisms of [product, {...product, ...change}]) {
		for (let seed = 1; seed <= 50; seed++) {
			const options = {seed, faults: [], mechanisms};
			assert.deepEqual(runRequestCase({...options, repeatable: false}), []);
			assert.deepEqual(runRequestCase({...options, repeatable: true}), []);
		}
	}
});
