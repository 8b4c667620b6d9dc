import assert from 'node:assert/strict';
import test from 'node:test';
import {isKnownFull} from './is-known-full.js';
import {
	stepHostRecord,
	type HostMessage,
	type HostRecord,
} from './step-host-record.js';

const demand = 'lookups aged';

function createEnd(outcome: 'full' | 'answered'): HostMessage {
	return {kind: 'ended', outcome, latencyMs: 1, demand, load: undefined};
}

/** Counts the requests that reach a host in ten seconds while it refuses all. */
function countAsked(): number {
	let record: HostRecord | undefined;
	let asked = 0;
	for (let now = 0; now < 10_000; now += 10) {
		if (!isKnownFull(record, demand, now)) {
			asked++;
			const context = {now, random: 0.5, serviceLatencyMs: 0};
			record = stepHostRecord(record, {kind: 'sent'}, context);
			record = stepHostRecord(record, createEnd('full'), context);
		}
	}

	return asked;
}

test('a host that refuses all is hardly asked in a lasting overload', () => {
	assert.ok(countAsked() <= 10_000 / 400 + 5, String(countAsked()));
});

test('a host that has room again is soon asked as before', () => {
	const context = {now: 0, random: 0.5, serviceLatencyMs: 0};
	let record: HostRecord | undefined;
	for (const outcome of ['full', 'full', 'full', 'answered', 'full'] as const) {
		record = stepHostRecord(record, createEnd(outcome), context);
	}

	assert.ok(isKnownFull(record, demand, 29));
	assert.ok(!isKnownFull(record, demand, 31));
});
