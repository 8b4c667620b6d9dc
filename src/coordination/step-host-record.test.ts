import assert from 'node:assert/strict';
import test from 'node:test';
import {computeHostRateLimitWait} from './compute-host-rate-limit-wait.js';
import {isKnownFull} from './is-known-full.js';
import {
	stepHostRecord,
	type HostMessage,
	type HostRecord,
} from './step-host-record.js';

const admissionClass = 'lookups aged';

function createEnd(
	outcome: 'full' | 'answered' | 'cancelled' | 'unreachable',
): HostMessage {
	return {
		kind: 'ended',
		outcome,
		latencyMs: 1,
		admissionClass,
		load: undefined,
	};
}

/** Counts the attempts at a host in ten seconds while it refuses all of them. */
function countAttempts(): number {
	let record: HostRecord | undefined;
	let asked = 0;
	for (let now = 0; now < 10_000; now += 10) {
		if (!isKnownFull(record, admissionClass, now)) {
			asked++;
			const context = {now, random: 0.5, serviceLatencyMs: 0};
			record = stepHostRecord(record, {kind: 'sent'}, context);
			record = stepHostRecord(record, createEnd('full'), context);
		}
	}

	return asked;
}

test('a host that refuses every attempt gets few attempts under lasting overload', () => {
	assert.ok(countAttempts() <= 10_000 / 400 + 5, String(countAttempts()));
});

test('the backoff starts anew after a host has accepted an attempt', () => {
	const context = {now: 0, random: 0.5, serviceLatencyMs: 0};
	let record: HostRecord | undefined;
	for (const outcome of ['full', 'full', 'full', 'answered', 'full'] as const) {
		record = stepHostRecord(record, createEnd(outcome), context);
	}

	assert.ok(isKnownFull(record, admissionClass, 29));
	assert.ok(!isKnownFull(record, admissionClass, 31));
});

test('the wait at a rate-limited host grows with each request sent to it', () => {
	const context = {now: 0, random: 0.5, serviceLatencyMs: 0};
	const rateLimit = {perSecond: 10, waitMs: 0};
	const notice = {id: 'i-1', isLeaving: false, rateLimit};
	const load = {inFlight: 1, queued: 0, slots: 6, notice};
	const end = {...createEnd('answered'), load} as const;
	let record: HostRecord | undefined;
	record = stepHostRecord(record, end, context);
	assert.equal(computeHostRateLimitWait(record, 0), 0);
	record = stepHostRecord(record, {kind: 'sent'}, context);
	record = stepHostRecord(record, {kind: 'sent'}, context);
	assert.equal(computeHostRateLimitWait(record, 0), 200);
	assert.equal(computeHostRateLimitWait(record, 150), 50);
	// A limit that was reported long ago may have ended.
	assert.equal(computeHostRateLimitWait({...record, reportedAt: -1500}, 0), 0);
	const free = {...end, load: {...load, notice: undefined}};
	record = stepHostRecord(record, free, context);
	assert.equal(computeHostRateLimitWait(record, 0), 0);
});

test('a rate-limited host is tried again after the delay given by it, regardless of earlier refusals', () => {
	const rateLimit = {perSecond: 10, waitMs: 100};
	const notice = {id: 'i-1', isLeaving: false, rateLimit};
	const load = {inFlight: 0, queued: 0, slots: 6, notice};
	const end = {...createEnd('full'), load, retryAfterMs: 100} as const;
	let record: HostRecord | undefined;
	for (let refusals = 0; refusals < 5; refusals++) {
		const context = {now: 0, random: 0.5, serviceLatencyMs: 0};
		record = stepHostRecord(record, end, context);
	}

	assert.ok(!isKnownFull(record, admissionClass, 60));
});

test('a cancelled attempt is no evidence about its host', () => {
	const context = {now: 0, random: 0.5, serviceLatencyMs: 0};
	const record = stepHostRecord(undefined, createEnd('unreachable'), context);
	assert.deepEqual(
		stepHostRecord(record, createEnd('cancelled'), context),
		record,
	);
});
