import assert from 'node:assert/strict';
import test from 'node:test';
import {computeWaitMs} from './compute-wait.js';
import {decideAdmission, defaultMarginRatio} from './decide-admission.js';
import {stepTimeMargin} from './step-time-margin.js';

test('the margin rises with late answers and falls with punctual ones', () => {
	const late = {serviceMs: 50, expectedMs: 90, actualMs: 150};
	const punctual = {...late, actualMs: 60};
	assert.ok(stepTimeMargin(0.4, late) > 0.4);
	assert.ok(stepTimeMargin(0.4, punctual) < 0.4);
	assert.equal(stepTimeMargin(0, punctual), 0);
	assert.equal(stepTimeMargin(0.4, {...late, serviceMs: 0}), 0.4);
});

const slots = 6;
const objectiveMs = 200;
const seconds = 20;

/** Creates a deterministic source of pseudorandom numbers in [0, 1). */
function createNumbers(): () => number {
	let seed = 12_345;
	return () => {
		seed = (seed * 1_103_515_245 + 12_345) % 2 ** 31;
		return seed / 2 ** 31;
	};
}

type QueuedLookup = {readonly expectedMs: number; readonly dueAt: number};

/**
 * Simulates lookups at 1.5 times the capacity of six slots. Most of them hold
 * their slot for nested calls of widely varying duration, and requests of high
 * priority take about every third free slot.
 */
function replayOverload(adapts: boolean): {served: number; punctual: number} {
	const random = createNumbers();
	const running: Array<{readonly endAt: number; readonly sentAt: number}> = [];
	const queued: Array<QueuedLookup & {readonly arrivedAt: number}> = [];
	const meanMs = 95;
	let marginRatio = defaultMarginRatio;
	let served = 0;
	let punctual = 0;

	function startNext(now: number): void {
		while (running.length < slots && queued.length > 0) {
			const isUrgent = random() < 0.35;
			const next = isUrgent ? undefined : queued.shift()!;
			const callsMs = random() < 0.7 ? -50 * Math.log(1 - random()) : 0;
			const durationMs = 60 * (0.6 + random() * 0.8) + callsMs;
			const endAt = now + durationMs;
			running.push({endAt, sentAt: now});
			if (!next) {
				continue;
			}

			const actualMs = endAt - next.arrivedAt;
			const {expectedMs} = next;
			served++;
			punctual += actualMs <= objectiveMs ? 1 : 0;
			if (adapts) {
				const answer = {serviceMs: meanMs, expectedMs, actualMs};
				marginRatio = stepTimeMargin(marginRatio, answer);
			}
		}
	}

	for (let now = 0; now < seconds * 1000; now++) {
		for (let index = running.length - 1; index >= 0; index--) {
			if (running[index]!.endAt <= now) {
				running.splice(index, 1);
			}
		}

		startNext(now);
		if (random() >= (1.5 * slots) / meanMs) {
			continue;
		}

		const waitMs = computeWaitMs({
			slots,
			runningMs: running.map(({sentAt}) => Math.max(2, sentAt + meanMs - now)),
			aheadMs: queued.map(() => meanMs),
		});
		const admission = decideAdmission({
			state: 'ready',
			remainingMs: 1200,
			slots,
			inFlight: running.length,
			queuedAhead: queued.length,
			queued: queued.length,
			teamQueued: queued.length,
			maxTeamQueued: queued.length,
			maxQueued: 24,
			serviceMs: meanMs,
			meanServiceMs: meanMs,
			waitMs,
			lateWaitMs: waitMs,
			objectiveMs,
			utilization: 1.5,
			...(adapts && {marginRatio}),
		});
		if (admission.kind === 'admit') {
			const expectedMs = waitMs + meanMs;
			queued.push({arrivedAt: now, expectedMs, dueAt: now + objectiveMs});
			startNext(now);
		}
	}

	return {served, punctual};
}

test('the adapted margin keeps most answers punctual under overload at the cost of few answers', () => {
	const fixed = replayOverload(false);
	const learnt = replayOverload(true);
	assert.ok(fixed.punctual < 0.75 * fixed.served, JSON.stringify(fixed));
	assert.ok(learnt.punctual > 0.75 * learnt.served, JSON.stringify(learnt));
	assert.ok(learnt.punctual > fixed.punctual);
	assert.ok(learnt.served > 0.9 * fixed.served);
});
