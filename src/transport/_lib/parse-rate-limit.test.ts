import assert from 'node:assert/strict';
import test from 'node:test';
import {parseRateLimit} from './parse-rate-limit.js';

const readable: ReadonlyArray<readonly [string, number]> = [
	['12.6', 12.6],
	['0', 0],
	['0.25', 0.25],
	['.5', 0.5],
	['100000', 100_000],
];

for (const [text, perSecond] of readable) {
	test(`rate limit ${text} is parsed`, () => {
		assert.deepEqual(parseRateLimit(text), {kind: 'named', perSecond});
	});
}

const unreadable = [
	'',
	'-1',
	'ten',
	'NaN',
	'Infinity',
	'1e9',
	'10000000',
	'10, 5',
];

for (const text of unreadable) {
	test(`rate limit "${text}" is unreadable`, () => {
		assert.deepEqual(parseRateLimit(text), {kind: 'unreadable', text});
	});
}

test('a missing rate limit is none', () => {
	assert.deepEqual(parseRateLimit(undefined), {kind: 'none'});
});

test('a long unreadable text is truncated', () => {
	const parsed = parseRateLimit('x'.repeat(10_000));
	assert.deepEqual(parsed, {kind: 'unreadable', text: 'x'.repeat(64)});
});
