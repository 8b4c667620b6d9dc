import assert from 'node:assert/strict';
import test from 'node:test';
import {formatFaultMatrix} from './format-fault-matrix.js';
import {listConfigCases} from './list-config-cases.js';
import {runFaultCases} from './run-fault-cases.js';

test('the invariants hold under each single fault at each step', () => {
	const results = runFaultCases(listConfigCases({kinds: ['single']}));
	const failed = results.filter(({violations}) => violations.length > 0);
	assert.equal(failed.length, 0, formatFaultMatrix(failed));
});
