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

/** Replaces what a request is told. */
function tellInstead(
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

/** Replaces methods of each ledger. */
function changeLedger(
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
	'no ledger: what arrives runs': [
		changeLedger(() => ({admit: () => 'run'})),
		/ran \d times/v,
	],
	'ledger without stamps: what is not on record runs': [
		changeLedger((ledger) => ({
			admit(attempt, now) {
				const answer = ledger.admit(attempt, now);
				return answer === 'stale' ? 'run' : answer;
			},
		})),
		/ran \d times|not run but ran/v,
	],
	'one epoch for all processes of a gate': [
		{
			createLedger: (options) =>
				product.createLedger({...options, epoch: 'same'}),
		},
		/not run but ran|ran \d times/v,
	],
	'ask without a fence': [
		changeLedger((ledger) => {
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
		/not run but ran|ran \d times/v,
	],
	'what the gate does not know has not run': [
		tellInstead((message) =>
			message.kind === 'ask-answered' && message.answer === 'stale'
				? {...message, answer: 'fenced'}
				: message,
		),
		/not run but ran|ran \d times/v,
	],
	'what was lost has not run': [
		tellInstead((message) =>
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
		/not run but ran/v,
		1,
	],
	'silence is not asked about': [
		tellInstead((message) => (message.kind === 'silent' ? undefined : message)),
		/ended unknown/v,
	],
	'no deadline': [
		tellInstead((message) =>
			message.kind === 'deadline' ? undefined : message,
		),
		/has 0 ends|ended late/v,
	],
	'messages about earlier attempts count': [
		{
			stepRequest(state, message, context) {
				const current =
					'attempt' in message
						? {...message, attempt: state.attempts}
						: message;
				return product.stepRequest(state, current, context);
			},
		},
		/ran \d times|not run but ran|has \d ends/v,
		1,
	],
	'a leaving host takes work': [
		{
			decideAdmission: (input) =>
				product.decideAdmission({...input, state: 'ready'}),
		},
		/started after leaving/v,
	],
};

test('requests: all cases of the matrix hold', () => {
	assert.deepEqual(listFailures(listRequestsCases()), []);
});

for (const [name, [change, expected, pairSeeds = 0]] of Object.entries(naive)) {
	test(`requests: the matrix shows the fault of: ${name}`, () => {
		const mechanisms = {...product, ...change};
		const cases = listRequestsCases({pairSeeds, mechanisms});
		assert.ok(
			cases.some((one) => expected.test(listFailures([one]).join('\n'))),
		);
	});
}

test('requests: without faults all are answered, as by the naive version', () => {
	const change = naive['what was lost has not run']![0];
	for (const mechanisms of [product, {...product, ...change}]) {
		for (let seed = 1; seed <= 50; seed++) {
			const options = {seed, faults: [], mechanisms};
			assert.deepEqual(runRequestCase({...options, repeatable: false}), []);
			assert.deepEqual(runRequestCase({...options, repeatable: true}), []);
		}
	}
});
