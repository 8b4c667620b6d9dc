import assert from 'node:assert/strict';
import test from 'node:test';
import {findDuplicateKeys} from './find-duplicate-keys.js';

test('finds duplicate keys at every depth of an object, and only there', () => {
	const cases: Array<[string, unknown]> = [
		['{"a": 1, "b": {"a": 2}, "c": [{"a": 1}, {"a": 1}]}', []],
		['{"a": 1, "a": 2}', [['a']]],
		['{"r": [{"x": 1}, {"x": 1, "y": {}, "x": 2}]}', [['r', 1, 'x']]],
		[String.raw`{"a": 1, "\u0061": 2}`, [['a']]],
		['{"__proto__": 1, "__proto__": 2}', [['__proto__']]],
	];
	for (const [text, expected] of cases) {
		assert.deepEqual(findDuplicateKeys(text), expected, text);
	}
});
