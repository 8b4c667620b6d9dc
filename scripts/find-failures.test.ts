import assert from 'node:assert/strict';
import test from 'node:test';
import {findFailures} from './find-failures.js';

const output = `TAP version 13
ok 1 - passes
not ok 2 - known one
    not ok 1 - part of another
not ok 3 - another
not ok 4 - known one and more
`;

test('tells listed failures from others by their whole name', () => {
	assert.deepEqual(findFailures(output, ''), {
		known: [],
		unexpected: ['known one', 'another', 'known one and more'],
	});
	assert.deepEqual(
		findFailures(
			output,
			'known one | npm test, seed 3 | hangs | 2\nabsent | - | - | 2',
		),
		{known: ['known one'], unexpected: ['another', 'known one and more']},
	);
});
