import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	initialRequestState,
	type RequestContext,
	type RequestEffect,
	type RequestMessage,
} from './request-state.js';
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
			'unanswered' as const,
			'silent' as const,
			'ask-failed' as const,
			'fetch-lost' as const,
		),
		attempt,
	}),
	fc.record({
		kind: fc.constant('fetch-ended' as const),
		attempt,
		outcome: fc.constantFrom('not-run' as const, 'unknown' as const),
		reason: fc.constantFrom('fenced' as const, 'forgotten' as const),
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
function run(
	messages: readonly RequestMessage[],
	repeatable: boolean,
	{budget = 10, hasUntriedHost = true} = {},
) {
	const parameters = {
		repeatable,
		isNested: false,
		maxAttempts: 3,
		deadlineAt: 1000,
	};
	let state = initialRequestState;
	return messages.flatMap((told) => {
		const context = {
			parameters,
			now: 0,
			random: 0.5,
			budget,
			hasUntriedHost,
		};
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

const unanswered: RequestMessage = {kind: 'unanswered', attempt: 1};
function formatEffect(effect: RequestEffect): string {
	switch (effect.kind) {
		case 'send':
		case 'abandon': {
			return `${effect.kind} ${effect.attempt}`;
		}

		case 'finish': {
			return `finish ${effect.outcome}`;
		}

		case 'ask':
		case 'fetch':
		case 'wait':
		case 'spend-budget': {
			return effect.kind;
		}
	}
}

/** Runs a repeatable request whose first attempt does not seem to be worked on, and formats the effects. */
function runUnanswered(
	messages: readonly RequestMessage[],
	changes: Partial<RequestContext> = {},
): string[] {
	const parameters = {
		repeatable: true,
		isNested: false,
		maxAttempts: 2,
		deadlineAt: 1000,
		...changes.parameters,
	};
	const context = {
		now: 0,
		random: 0.5,
		budget: 10,
		...changes,
		parameters,
	};
	let state = initialRequestState;
	return [{kind: 'start'} as const, unanswered, ...messages].flatMap((told) => {
		const step = stepRequest(state, told, context);
		state = step.state;
		return step.effects.map((effect) => formatEffect(effect));
	});
}

const repeated = ['send 1', 'spend-budget', 'wait', 'send 2'];
const elapsed: RequestMessage = {kind: 'delay-elapsed'};

test('the first answer to a request that was sent twice ends the other attempt', () => {
	for (const [first, second] of [
		[1, 2],
		[2, 1],
	] as const) {
		const effects = runUnanswered([
			elapsed,
			{kind: 'answered', attempt: first},
			{kind: 'answered', attempt: second},
		]);
		assert.deepEqual(effects, [
			...repeated,
			`abandon ${second}`,
			'finish answered',
		]);
	}
});

test('an answer that comes before the second attempt is delivered', () => {
	const effects = runUnanswered([{kind: 'answered', attempt: 1}, elapsed]);
	assert.deepEqual(effects, [
		'send 1',
		'spend-budget',
		'wait',
		'finish answered',
	]);
});

// Regression: a request at which an upstream was at work was answered with 504, as no other attempt could be made.
test('a request that does not seem to be worked on stays open when no other attempt can be made', () => {
	const parameters = {repeatable: true, maxAttempts: 2, deadlineAt: 1000};
	const nested = {...parameters, isNested: true};
	const once = {...parameters, isNested: false, maxAttempts: 1};
	const late = {...parameters, isNested: false, deadlineAt: 0};
	const unsafe = {...parameters, isNested: false, repeatable: false};
	const answered: RequestMessage = {kind: 'answered', attempt: 1};
	for (const changes of [
		{budget: 0},
		{isQuarantined: true},
		{parameters: nested},
		{parameters: once},
		{parameters: late},
		{parameters: unsafe},
	]) {
		assert.deepEqual(runUnanswered([answered], changes), [
			'send 1',
			'finish answered',
		]);
	}
});

const noAnswers: readonly RequestMessage[] = [
	{kind: 'no-host', reason: 'saturated'},
	{kind: 'ended', attempt: 2, outcome: 'not-run', reason: 'saturated'},
	{kind: 'ended', attempt: 2, outcome: 'unknown', reason: 'connection-lost'},
];

test('a request whose second attempt ends without an answer waits for the first', () => {
	const answered: RequestMessage = {kind: 'answered', attempt: 1};
	for (const ending of noAnswers) {
		assert.deepEqual(runUnanswered([elapsed, ending, answered]), [
			...repeated,
			'finish answered',
		]);
	}
});

test('a request both of whose attempts end without an answer may have run', () => {
	const ended: RequestMessage = {
		kind: 'ended',
		attempt: 1,
		outcome: 'not-run',
		reason: 'shed',
	};
	for (const ending of noAnswers) {
		const effects = [...repeated, 'finish unknown'];
		assert.deepEqual(runUnanswered([elapsed, ending, ended]), effects);
		assert.deepEqual(runUnanswered([elapsed, ended, ending]), effects);
	}
});

test('the deadline and the disconnect of the client end both attempts', () => {
	for (const kind of ['deadline', 'cancelled'] as const) {
		const effects = runUnanswered([elapsed, {kind}]);
		assert.deepEqual(effects.toSorted(), [
			'abandon 1',
			'abandon 2',
			'finish unknown',
			'send 1',
			'send 2',
			'spend-budget',
			'wait',
		]);
		const waiting = runUnanswered([elapsed, noAnswers[1]!, {kind}]);
		assert.deepEqual(waiting, [...repeated, 'abandon 1', 'finish unknown']);
	}
});

const sent: RequestMessage = {kind: 'sent', attempt: 1, hasStamp: true};
const silent: RequestMessage = {kind: 'silent', attempt: 1};
const askFailed: RequestMessage = {kind: 'ask-failed', attempt: 1};
const lastAnswer: RequestMessage = {kind: 'answered', attempt: 1};

/** Messages of a request whose gate is silent and is asked about the attempt. */
const asked = [{kind: 'start'}, sent, silent] as const;

// Regression: a request was answered with 504 after its gate had been silent for a while, although the upstream was at work.
test('a repeatable request whose gate does not answer questions stays open', () => {
	const first = [...asked, askFailed] as const;
	const waiting = run([...first, lastAnswer], true, {budget: 0});
	assert.deepEqual(
		waiting.map((effect) => formatEffect(effect)),
		['send 1', 'ask', 'finish answered'],
	);
	const beside = run([...first, elapsed, lastAnswer], true);
	assert.deepEqual(
		beside.map((effect) => formatEffect(effect)),
		[
			'send 1',
			'ask',
			'spend-budget',
			'wait',
			'send 2',
			'abandon 2',
			'finish answered',
		],
	);
});

/** Ways in which a question about an attempt ends without its answer. */
const questionEnds: ReadonlyArray<
	readonly [string, boolean, readonly RequestMessage[]]
> = [
	[
		'a gate that answers no question',
		false,
		[askFailed, elapsed, askFailed, elapsed, askFailed, elapsed, askFailed],
	],
	[
		'a gate that has just ended the attempt',
		true,
		[{kind: 'ask-answered', attempt: 1, answer: 'fenced'}],
	],
	[
		'a gate that does not know the attempt',
		true,
		[{kind: 'ask-answered', attempt: 1, answer: 'stale'}],
	],
	...[false, true].map(
		(repeatable) =>
			[
				'a gate that keeps no answer',
				repeatable,
				[
					{kind: 'ask-answered', attempt: 1, answer: 'running'},
					{
						kind: 'fetch-ended',
						attempt: 1,
						outcome: 'unknown',
						reason: 'forgotten',
					},
				],
			] as const,
	),
];

for (const [name, repeatable, ends] of questionEnds) {
	// Regression: a request was answered with 504 although its answer was on its way on an open connection.
	test(`the answer on an open connection is delivered after a question to ${name}, ${repeatable ? 'repeatable' : 'not repeatable'}`, () => {
		const messages = [...asked, ...ends, lastAnswer];
		const effects = run(messages, repeatable, {hasUntriedHost: false});
		assert.equal(formatEffect(effects.at(-1)!), 'finish answered');
		const kinds = new Set(effects.map(({kind}) => kind));
		assert.ok(!kinds.has('abandon'));
	});
}

test('an attempt in doubt is not sent a second time to the only host', () => {
	const effects = run([{kind: 'start'}, sent, unanswered, elapsed], true, {
		hasUntriedHost: false,
	});
	assert.deepEqual(
		effects.map((effect) => formatEffect(effect)),
		['send 1'],
	);
});

test('another attempt is made when the notice comes during a question', () => {
	const effects = run([...asked, unanswered, elapsed], true);
	assert.equal(formatEffect(effects.at(-1)!), 'send 2');
});
