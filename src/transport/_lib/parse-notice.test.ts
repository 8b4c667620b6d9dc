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

test('a notice is read as it was written', () => {
	assert.deepEqual(
		notices.map((notice) => parseNotice(formatNotice(notice))),
		notices,
	);
});

test('what is no notice is not read as one', () => {
	const texts = ['', 'id=', 'id=a', 'id=a&leaving=2', 'id=a&leaving=1&limit=x'];
	assert.deepEqual(
		[undefined, ...texts].map((text) => parseNotice(text)),
		[undefined, ...texts].map(() => undefined),
	);
});
