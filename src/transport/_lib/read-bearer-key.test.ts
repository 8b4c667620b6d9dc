import assert from 'node:assert/strict';
import test from 'node:test';
import {readBearerKey} from './read-bearer-key.js';

const read = (...rawHeaders: readonly string[]) =>
	readBearerKey(['Host', 'prices.example', ...rawHeaders], 'authorization');

test('the scheme and the name of the header may be in any case', () => {
	const key = {kind: 'key', key: 'k/1+a=='};
	assert.deepEqual(read('Authorization', 'Bearer k/1+a=='), key);
	assert.deepEqual(read('AUTHORIZATION', 'bEARER  k/1+a=='), key);
});

test('no header is no key', () => {
	assert.deepEqual(read('Authorisation', 'Bearer k1'), {kind: 'none'});
});

// Which of two keys counts would depend on who reads them.
test('a repeated header or one of another form is unreadable', () => {
	const unreadable = {kind: 'unreadable'};
	for (const value of [
		'',
		'Bearer',
		'Bearer ',
		'Basic azE=',
		'k1',
		'Bearer k1 k2',
		'Bearer\tk1',
		'Bearer k\u00E9',
	]) {
		assert.deepEqual(read('Authorization', value), unreadable, value);
	}

	const twice = ['Authorization', 'Bearer k1', 'authorization', 'Bearer k1'];
	assert.deepEqual(read(...twice), unreadable);
});
