import assert from 'node:assert/strict';
import test from 'node:test';
import {createUnreadableLog} from './create-unreadable-log.js';

test('an unreadable part that keeps coming is logged once', () => {
	let at = 0;
	const lines: unknown[] = [];
	const log = createUnreadableLog({
		logger: {
			warn(_, fields) {
				lines.push(fields);
			},
		},
		now: () => at,
	});
	for (; at < 3_600_000; at += 1000) {
		log.record('a', [{place: 'records[b]', reason: 'odd'}]);
	}

	assert.deepEqual(lines, [
		{source: 'a', place: 'records[b]', reason: 'odd', omitted: 0},
	]);
});

test('many different unreadable parts are logged at a bounded rate', () => {
	let at = 0;
	let lines = 0;
	let omitted = 0;
	const log = createUnreadableLog({
		logger: {
			warn(_, fields) {
				lines++;
				omitted += Number(fields?.omitted);
			},
		},
		now: () => at,
	});
	const parts = Array.from({length: 100_000}, (_, index) => ({
		place: `records[${index}]`,
		reason: 'odd',
	}));
	log.record('a', parts);
	assert.equal(lines, 16);
	at = 60_000;
	log.record('a', [{place: 'records[b]', reason: 'odd'}]);
	assert.equal(lines, 17);
	assert.equal(omitted, parts.length - 16);
});
