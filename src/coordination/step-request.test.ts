import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {initialRequestState, type RequestMessage} from './request-state.js';
import {stepRequest} from './step-request.js';

const attempt = fc.integer({min: 1, max: 3});
const message: fc.Arbitrary<RequestMessage> = fc.oneof(
	fc.record({
		kind: fc.constant('ended' as const),
		attempt,
		outcome: fc.constantFrom('not-run' as const, 'unknown' as const),
		reason: fc.constantFrom('leaving' as const, 'stale-stamp' as const),
	}),
	fc.record({
		kind: fc.constant('lost' as const),
		attempt,
		reason: fc.constant('connection-lost' as const),
		hadStamp: fc.boolean(),
	}),
	fc.record({
		kind: fc.constant('sent' as const),
		attempt,
		hasStamp: fc.boolean(),
	}),
	fc.record({
		kind: fc.constantFrom(
			'answered' as const,
			'silent' as const,
			'ask-failed' as const,
			'fetch-lost' as const,
		),
		attempt,
	}),
	fc.record({
		kind: fc.constant('ask-answered' as const),
		attempt,
		answer: fc.constantFrom(
			'running' as const,
			'ended' as const,
			'fenced' as const,
			'stale' as const,
		),
	}),
	fc.constantFrom<RequestMessage>(
		{kind: 'delay-elapsed'},
		{kind: 'deadline'},
		{kind: 'cancelled'},
		{kind: 'no-host', reason: 'pending'},
	),
);

/** Passes messages to a request and returns the effects. */
function run(messages: readonly RequestMessage[], repeatable: boolean) {
	const parameters = {
		repeatable,
		isNested: false,
		maxAttempts: 3,
		deadlineAt: 1000,
	};
	let state = initialRequestState;
	return messages.flatMap((told) => {
		const context = {parameters, now: 0, random: 0.5, budget: 10};
		const step = stepRequest(state, told, context);
		state = step.state;
		return step.effects;
	});
}

test('a request ends exactly once, and no effect follows its end', () => {
	fc.assert(
		fc.property(
			fc.array(message, {maxLength: 30}),
			fc.boolean(),
			(messages, repeatable) => {
				const effects = run(
					[{kind: 'start'}, ...messages, {kind: 'deadline'}],
					repeatable,
				);
				const ends = effects.filter(({kind}) => kind === 'finish');
				assert.equal(ends.length, 1);
				assert.equal(effects.at(-1)?.kind, 'finish');
			},
		),
		{seed: 1, numRuns: 2000},
	);
});

test('a request with an attempt that may have run does not end as `not-run`', () => {
	fc.assert(
		fc.property(fc.array(message, {maxLength: 20}), (messages) => {
			const lost: RequestMessage = {
				kind: 'lost',
				attempt: 1,
				reason: 'connection-lost',
				hadStamp: true,
			};
			const effects = run(
				[{kind: 'start'}, lost, ...messages, {kind: 'deadline'}],
				true,
			);
			const end = effects.at(-1);
			assert.ok(end?.kind === 'finish' && end.outcome !== 'not-run');
		}),
		{seed: 2, numRuns: 2000},
	);
});

test('a repeatable attempt that was fenced may have run before', () => {
	const parameters = {
		repeatable: true,
		isNested: false,
		maxAttempts: 1,
		deadlineAt: 1000,
	};
	const context = {parameters, now: 0, random: 0.5, budget: 1};
	const {state} = stepRequest(initialRequestState, {kind: 'start'}, context);
	const fenced = {
		kind: 'ended',
		attempt: 1,
		outcome: 'not-run',
		reason: 'fenced',
	} as const;
	const [repeatable] = stepRequest(state, fenced, context).effects;
	assert.equal(repeatable?.kind === 'finish' && repeatable.outcome, 'unknown');

	const once = {...context, parameters: {...parameters, repeatable: false}};
	const [other] = stepRequest(state, fenced, once).effects;
	assert.equal(other?.kind === 'finish' && other.outcome, 'not-run');
});

function readEnd(messages: readonly RequestMessage[]) {
	const end = run([{kind: 'start'}, ...messages], false).at(-1);
	return end?.kind === 'finish' ? end.outcome : undefined;
}

test('an attempt that no gate can run does not end as `unknown` at the deadline', () => {
	const deadline: RequestMessage = {kind: 'deadline'};
	assert.equal(readEnd([deadline]), 'not-run');
	assert.equal(
		readEnd([{kind: 'sent', attempt: 1, hasStamp: false}, deadline]),
		'not-run',
	);
	assert.equal(
		readEnd([{kind: 'sent', attempt: 1, hasStamp: true}, deadline]),
		'unknown',
	);
});

test('a silent attempt that no gate can run is sent to another host at once', () => {
	const silent: RequestMessage = {kind: 'silent', attempt: 1};
	const unsent = run([{kind: 'start'}, silent], false);
	assert.deepEqual(
		unsent.map(({kind}) => kind),
		['send', 'abandon', 'send'],
	);
	const sent = run(
		[{kind: 'start'}, {kind: 'sent', attempt: 1, hasStamp: true}, silent],
		false,
	);
	assert.deepEqual(
		sent.map(({kind}) => kind),
		['send', 'ask'],
	);
});

test('the end of an abandoned attempt uses no retry budget', () => {
	const sent: RequestMessage = {kind: 'sent', attempt: 1, hasStamp: true};
	const effects = run(
		[
			{kind: 'start'},
			sent,
			{kind: 'silent', attempt: 1},
			{kind: 'ask-answered', attempt: 1, answer: 'stale'},
			{
				kind: 'lost',
				attempt: 1,
				reason: 'connection-lost',
				hadStamp: true,
			},
		],
		true,
	);
	const spent = effects.filter(({kind}) => kind === 'spend-budget');
	assert.equal(spent.length, 1);
});

test('a repeatable attempt that was sent without a stamp may have run', () => {
	const lost: RequestMessage = {
		kind: 'lost',
		attempt: 1,
		reason: 'connection-lost',
		hadStamp: false,
	};
	const sent: RequestMessage = {kind: 'sent', attempt: 1, hasStamp: false};
	for (const message of [lost, sent]) {
		const effects = run([{kind: 'start'}, message, {kind: 'deadline'}], true);
		const end = effects.at(-1);
		assert.equal(end?.kind === 'finish' && end.outcome, 'unknown');
	}
});
