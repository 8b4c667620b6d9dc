import assert from 'node:assert/strict';
import test from 'node:test';
import {formatCapacity} from './_lib/format-capacity.js';
import {updateCapacityPage} from './_lib/update-capacity-page.js';

test('the capacity page follows from the committed measurements', async () => {
	const {current, expected} = await updateCapacityPage();
	assert.equal(current, expected);
});

test('what was not measured is said to be so', () => {
	const tables = formatCapacity({
		members: undefined,
		config: undefined,
		requests: undefined,
	});
	for (const [name, table] of tables) {
		assert.match(table, /not measured/v, name);
	}
});
