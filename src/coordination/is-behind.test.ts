import assert from 'node:assert/strict';
import test from 'node:test';
import {isBehind} from './is-behind.js';

test('a node reads before it sends once it may have missed the end of a connection', () => {
	assert.equal(isBehind(20), false);
	assert.equal(isBehind(400), true);
});
