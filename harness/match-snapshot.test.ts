import assert from 'node:assert/strict';
import test from 'node:test';
import {matchSnapshot} from './match-snapshot.js';

test('accepts the stored value and nothing else', () => {
	matchSnapshot(import.meta.url, 'value', {kind: 'stored', list: [1, 2]});
	assert.throws(() => {
		matchSnapshot(
			import.meta.url,
			'value',
			{kind: 'other', list: [1, 2]},
			false,
		);
	});
	assert.throws(() => {
		matchSnapshot(import.meta.url, 'absent', 'never stored', false);
	});
});
