import assert from 'node:assert/strict';
import test from 'node:test';
import {isUnambiguousPath} from './is-unambiguous-path.js';

test('accepts only paths that every server interprets alike', () => {
	for (const path of ['/', '/kitchens/prices', '/a/b.json', '/a/.well-known']) {
		assert.ok(isUnambiguousPath(path), path);
	}

	for (const path of [
		'',
		'*',
		'a/b',
		'http://host/a',
		'//a',
		'/a//b',
		'/a/../b',
		'/a/./b',
		'/a/..',
		'/a/%2e%2e/b',
		'/a/%2E./b',
		'/a%2fb',
		'/a%5Cb',
		String.raw`/a\b`,
		'/a%00b',
	]) {
		assert.ok(!isUnambiguousPath(path), path);
	}
});
