import assert from 'node:assert/strict';
import test from 'node:test';
import {formatFaultMatrix} from './format-fault-matrix.js';
import {listConfigCases} from './list-config-cases.js';
import {runFaultCases} from './run-fault-cases.js';

test('the invariants hold under pairs of faults, every ninth case', () => {
	const results = runFaultCases(
		listConfigCases({kinds: ['pairs'], everyNthPair: 9}),
	);
	const failed = results.filter(({violations}) => violations.length > 0);
	assert.equal(failed.length, 0, formatFaultMatrix(failed));
});
