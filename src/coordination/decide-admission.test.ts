import assert from 'node:assert/strict';
import test from 'node:test';
import {createFairQueue} from './create-fair-queue.js';
import {decideAdmission, type AdmissionInput} from './decide-admission.js';
import {decideRetry, type RetryInput} from './decide-retry.js';
import {stepRetryBudget, type RetryBudget} from './step-retry-budget.js';

const full: AdmissionInput = {
	state: 'ready',
	remainingMs: 2000,
	slots: 6,
	inFlight: 6,
	queuedAhead: 24,
	queued: 24,
	teamQueued: 4,
	maxTeamQueued: 10,
	maxQueued: 24,
	serviceMs: 10,
	meanServiceMs: 10,
	waitMs: 41.7,
	lateWaitMs: 41.7,
	objectiveMs: 2000,
	utilization: 1,
};

const admissions: ReadonlyArray<
	readonly [string, Partial<AdmissionInput>, string]
> = [
	['a free slot', {inFlight: 0, queuedAhead: 0, queued: 0}, 'admit'],
	['space in the queue', {queued: 20}, 'admit'],
	['a queue filled by another team', {}, 'admit with eviction'],
	['a queue filled by its own team', {teamQueued: 10}, 'saturated'],
	['a deadline before the end of its wait', {remainingMs: 40}, 'deadline'],
	['a deadline that has passed', {remainingMs: 0}, 'deadline'],
	['a leaving upstream', {state: 'leaving', queued: 0}, 'leaving'],
	['no upstream', {state: 'no-upstream', slots: 0}, 'no-upstream'],
];

for (const [name, change, expected] of admissions) {
	test(`admission with ${name}: ${expected}`, () => {
		const admission = decideAdmission({...full, ...change});
		const text =
			admission.kind === 'refuse'
				? admission.reason
				: `admit${admission.shouldEvict ? ' with eviction' : ''}`;
		assert.equal(text, expected);
	});
}

/** An attempt whose objective leaves no time to wait; six slots, one free. */
const pressed: Partial<AdmissionInput> = {
	inFlight: 5,
	queuedAhead: 0,
	queued: 0,
	objectiveMs: 12,
	serviceMs: 10,
	meanServiceMs: 10,
	waitMs: 0,
	lateWaitMs: 0,
};

/** Free slots, but a wait of 50 ms under the rate limit. */
const limited: Partial<AdmissionInput> = {
	inFlight: 0,
	waitMs: 50,
	lateWaitMs: 50,
	rateLimitWaitMs: 50,
	utilization: 0.1,
};

const lateCases: ReadonlyArray<
	readonly [string, Partial<AdmissionInput>, string]
> = [
	['a free slot at low utilization', {utilization: 0.5}, 'late'],
	[
		'a free slot that the next attempt in time needs',
		{utilization: 1},
		'saturated',
	],
	[
		'a full upstream at low utilization',
		{inFlight: 6, utilization: 0.5},
		'late',
	],
	['a full upstream', {inFlight: 6, utilization: 0.9}, 'saturated'],
	[
		'a wait longer than half of the time left',
		{inFlight: 6, utilization: 0.5, lateWaitMs: 600},
		'saturated',
	],
	[
		'a short time at a full upstream',
		{inFlight: 6, meanServiceMs: 50},
		'in time',
	],
	['an objective that it meets', {inFlight: 6, objectiveMs: 100}, 'in time'],
	[
		'a rate limit wait within its objective',
		{...limited, objectiveMs: 100},
		'in time',
	],
	[
		'a rate limit wait beyond its objective',
		{...limited, objectiveMs: 40},
		'limited',
	],
	[
		'a short time and a rate limit wait beyond its objective',
		{...limited, objectiveMs: 40, meanServiceMs: 50},
		'limited',
	],
	[
		'a rate limit wait beyond its deadline',
		{...limited, remainingMs: 55},
		'limited',
	],
	[
		'too little time even without a limit',
		{...limited, remainingMs: 5},
		'deadline',
	],
];

for (const [name, change, expected] of lateCases) {
	test(`admission of a late attempt with ${name}: ${expected}`, () => {
		const admission = decideAdmission({...full, ...pressed, ...change});
		const text =
			admission.kind === 'refuse'
				? admission.reason
				: admission.isLate
					? 'late'
					: 'in time';
		assert.equal(text, expected);
	});
}

test('a team with ten times the requests gets no more than its share', () => {
	const queue = createFairQueue();
	const tags = [
		...Array.from({length: 100}, () => ({team: 'noisy', tag: 0})),
		...Array.from({length: 10}, () => ({team: 'quiet', tag: 0})),
	].map(({team}) => ({team, tag: queue.enter(team)}));
	const order = tags.toSorted((a, b) => a.tag - b.tag);
	const lastQuiet = order.findLastIndex(({team}) => team === 'quiet');
	assert.ok(lastQuiet < 20);
});

const lookup: RetryInput = {
	outcome: 'not-run',
	reason: 'saturated',
	repeatable: false,
	attempts: 1,
	maxAttempts: 3,
	remainingMs: 100,
	budget: 1,
	isNested: false,
};

const retries: ReadonlyArray<readonly [Partial<RetryInput>, string]> = [
	[{}, 'retry'],
	[{outcome: 'unknown', reason: 'connection-lost'}, 'stop'],
	[{outcome: 'unknown', repeatable: true}, 'retry'],
	[{isNested: true}, 'stop'],
	[{budget: 0.9}, 'stop'],
	[{remainingMs: 0}, 'stop'],
	[{attempts: 3}, 'stop'],
	[{reason: 'leaving', isNested: true, budget: 0}, 'reroute'],
	[{reason: 'leaving', attempts: 3}, 'stop'],
];

for (const [change, expected] of retries) {
	test(`retry with ${JSON.stringify(change)}: ${expected}`, () => {
		assert.equal(decideRetry({...lookup, ...change}), expected);
	});
}

test('retries are a tenth of the requests plus a small constant', () => {
	let budget: RetryBudget | undefined;
	let made = 0;
	for (let now = 0; now < 1000; now++) {
		budget = stepRetryBudget(budget, 'request', now);
		if (budget.tokens >= 1) {
			budget = stepRetryBudget(budget, 'retry', now);
			made++;
		}
	}

	assert.ok(made >= 100 && made <= 115, String(made));
});

/** A nested call that arrives at a full queue of its own team, and would be late. */
const nested: AdmissionInput = {
	...full,
	teamQueued: 24,
	maxTeamQueued: 24,
	isNested: true,
	objectiveMs: 30,
	remainingMs: 200,
};

test('a nested call that would only be late is admitted, since its failure costs the work of another request', () => {
	const admission = decideAdmission({...nested, queued: 20});
	assert.deepEqual(admission, {
		kind: 'admit',
		shouldEvict: false,
		isLate: false,
	});
	assert.equal(
		decideAdmission({...nested, queued: 20, isNested: false}).kind,
		'refuse',
	);
});

test('a nested call takes the place of queued new work in a full queue', () => {
	const admission = decideAdmission({...nested, hasNewWorkQueued: true});
	assert.deepEqual(admission, {
		kind: 'admit',
		shouldEvict: true,
		isLate: false,
	});
});

test('a queue of nested calls alone is longer, but not endless', () => {
	assert.equal(decideAdmission({...nested, queued: 24}).kind, 'admit');
	assert.equal(decideAdmission({...nested, queued: 95}).kind, 'admit');
	assert.equal(decideAdmission({...nested, queued: 96}).kind, 'refuse');
});

test('a nested call that would be answered after its deadline is refused', () => {
	const input = {...nested, queued: 20, remainingMs: 60};
	assert.equal(decideAdmission(input).kind, 'refuse');
});

test('a request whose calls cannot be served is not tried at another host', () => {
	const input: RetryInput = {
		outcome: 'not-run',
		reason: 'calls-saturated',
		repeatable: true,
		attempts: 1,
		maxAttempts: 3,
		remainingMs: 500,
		budget: 10,
		isNested: false,
		hasAvailableHost: true,
	};
	assert.equal(decideRetry(input), 'stop');
	assert.equal(decideRetry({...input, reason: 'saturated'}), 'reroute');
});
