import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createSampleAttempt} from '../../harness/create-sample-attempt.js';
import {createLedger} from './create-ledger.js';

const lifetimeMs = 1000;
const maxRecords = 8;

test('an attempt runs at most once, and never after it was fenced', () => {
	const command = fc.record({
		kind: fc.constantFrom('admit', 'ask', 'end', 'restart'),
		attempt: fc.nat(11),
		waitMs: fc.integer({min: 0, max: 400}),
	});
	fc.assert(
		fc.property(fc.array(command, {maxLength: 120}), (commands) => {
			let now = 0;
			let starts = 0;
			let ledger = createLedger({epoch: '0', lifetimeMs, maxRecords});
			const stamps = new Map<number, ReturnType<typeof ledger.readStamp>>();
			const ran = new Set<number>();
			const fenced = new Set<number>();
			for (const {kind, attempt: number, waitMs} of commands) {
				now += waitMs;
				const stamp = stamps.get(number) ?? ledger.readStamp(now);
				stamps.set(number, stamp);
				const attempt = {id: String(number), stamp};
				if (kind === 'restart') {
					starts++;
					ledger = createLedger({
						epoch: String(starts),
						lifetimeMs,
						maxRecords,
					});
				} else if (kind === 'admit' && ledger.admit(attempt, now) === 'run') {
					assert.ok(!ran.has(number) && !fenced.has(number));
					ran.add(number);
				} else if (kind === 'ask' && ledger.ask(attempt, now) === 'fenced') {
					assert.ok(!ran.has(number));
					fenced.add(number);
				} else if (kind === 'end' && ran.has(number)) {
					ledger.end(attempt, now, undefined);
				}
			}
		}),
		{seed: 3, numRuns: 2000},
	);
});

test('records and kept answers stay within their bounds', () => {
	const ledger = createLedger<string>({epoch: 'a', maxRecords, maxBytes: 100});
	for (let now = 0; now < 100_000; now += 100) {
		const attempt = {id: String(now), stamp: ledger.readStamp(now)};
		assert.equal(ledger.admit(attempt, now), 'run');
		ledger.end(attempt, now, {value: 'answer', bytes: 30});
		const {records, bytes} = ledger.readSize();
		assert.ok(records <= maxRecords + 1 && bytes <= 100);
	}

	assert.equal(ledger.readAnswer('99900'), 'answer');
});

test('an idempotency key maps to the attempt that holds it', () => {
	const ledger = createLedger<string>({epoch: 'a'});
	const attempt = {id: '1', stamp: ledger.readStamp(0), key: 'k'};
	ledger.admit(attempt, 0);
	assert.equal(ledger.findKeyHolder('k'), '1');
	ledger.refuse(attempt, 0);
	assert.equal(ledger.findKeyHolder('k'), undefined);
});

// Without a stamp the gate cannot tell how long ago the attempt was sent.
test('an attempt without a valid stamp is refused, even if it may be repeated', () => {
	const ledger = createLedger<string>({epoch: 'a'});
	const first = createSampleAttempt({id: '1', repeatable: true});
	assert.equal(ledger.admit(first, 0), 'stale');
	const second = createSampleAttempt({id: '2', repeatable: false});
	assert.equal(ledger.admit(second, 2), 'stale');

	const other = createLedger<string>({epoch: 'b'}).readStamp(0);
	assert.equal(ledger.admit({...first, id: '3', stamp: other}, 3), 'stale');
	const own = ledger.readStamp(3);
	assert.equal(ledger.admit({...first, stamp: own}, 4), 'run');
	assert.equal(ledger.ask(first, 5), 'running');
});
