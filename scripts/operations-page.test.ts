import assert from 'node:assert/strict';
import test from 'node:test';
import {exitCodes} from '../src/cli/exit-codes.js';
import {problemSchema} from '../src/protocol/configuration.js';
import {outcomeReasons} from '../src/protocol/request.js';
import {readTable} from './read-table.js';

test('docs/OPERATIONS.md has every exit code, problem and reason', async () => {
	const codes = await readTable('OPERATIONS.md', 'Exitcode');
	assert.deepEqual(
		codes.map(([code, name]) => [name, Number(code)]),
		Object.entries(exitCodes),
	);
	const problems = await readTable('OPERATIONS.md', 'Code');
	assert.deepEqual(
		problems.map(([code]) => code),
		problemSchema.shape.code.options,
	);
	const reasons = await readTable('OPERATIONS.md', 'Reason');
	assert.deepEqual(
		reasons.map(([reason]) => reason),
		outcomeReasons,
	);
	for (const cells of [...codes, ...problems, ...reasons]) {
		assert.ok(cells.every(Boolean), cells[0]);
	}
});
