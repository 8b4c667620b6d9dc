import assert from 'node:assert/strict';
import test from 'node:test';
import type {UpstreamNotice} from '../../protocol/attempt.js';
import {formatNotice} from './format-notice.js';
import {parseNotice} from './parse-notice.js';

const notices: readonly UpstreamNotice[] = [
	{id: 'i-7f3a91c2', isLeaving: true},
	{id: 'a&b=c ü', incarnation: 1_790_000_000_000, isLeaving: false},
	{id: 'i-1', isLeaving: false, rateLimit: {perSecond: 12.6, waitMs: 80}},
	{id: 'i-1', isLeaving: true, rateLimit: {perSecond: 0, waitMs: 2000}},
];

test('parses what formatNotice has formatted', () => {
	assert.deepEqual(
		notices.map((notice) => parseNotice(formatNotice(notice))),
		notices,
	);
});

test('returns undefined for a missing or invalid notice', () => {
	const texts = [
		'',
		'id=',
		'id=a',
		'id=a&leaving=2',
		'id=a&leaving=1&incarnation=x',
		'id=a&leaving=1&incarnation=1e400',
		`id=${'a'.repeat(100)}&leaving=1`,
	];
	assert.deepEqual(
		[undefined, ...texts].map((text) => parseNotice(text)),
		[undefined, ...texts].map(() => undefined),
	);
});

test('a limit that is not readable does not cost the rest of the notice', () => {
	for (const odd of ['x', '', 'NaN', '1e400', 'Infinity', '1e9']) {
		assert.deepEqual(parseNotice(`id=a&leaving=1&limit=${odd}&wait=5`), {
			id: 'a',
			isLeaving: true,
		});
		assert.deepEqual(parseNotice(`id=a&leaving=1&limit=5&wait=${odd}`), {
			id: 'a',
			isLeaving: true,
			rateLimit: {perSecond: 5, waitMs: 0},
		});
	}

	const digits = '9'.repeat(400);
	assert.deepEqual(
		parseNotice(`id=a&leaving=0&limit=${digits}&wait=${digits}`),
		{
			id: 'a',
			isLeaving: false,
			rateLimit: {perSecond: 1_000_000, waitMs: 86_400_000},
		},
	);
});
