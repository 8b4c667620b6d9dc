import assert from 'node:assert/strict';
import test from 'node:test';
import {readTable} from '../../scripts/read-table.js';
import {metricNames} from './metric-names.js';

test('docs/METRICS.md lists every metric with its unit', async () => {
	const rows = await readTable('METRICS.md', 'Name');
	assert.deepEqual(
		rows.map(([name]) => name),
		metricNames,
	);
	assert.ok(rows.every((cells) => cells[2] && cells[4]));
});
