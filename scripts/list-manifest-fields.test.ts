import assert from 'node:assert/strict';
import test from 'node:test';
import {listSettings} from '../src/protocol/list-settings.js';
import {listManifestFields} from './list-manifest-fields.js';
import {readTable} from './read-table.js';

test('docs/CONFIGURATION.md has every field of a manifest', async () => {
	const rows = await readTable('CONFIGURATION.md', 'Field');
	assert.deepEqual(
		rows.map((cells) => [cells[0], cells[2], cells[3]]),
		listManifestFields().map(({field, allowed, default: fallback}) => [
			field,
			allowed,
			fallback ?? 'required',
		]),
	);
	assert.ok(rows.every((cells) => cells[1] && cells[4]));
});

test('docs/CONFIGURATION.md has every setting', async () => {
	const rows = await readTable('CONFIGURATION.md', 'Section');
	assert.deepEqual(
		rows.map((cells) => cells.slice(0, 4)),
		listSettings().map(({section, key, allowed, isRequired, ...setting}) => [
			section,
			key,
			allowed,
			isRequired ? 'required' : (setting.default ?? 'none'),
		]),
	);
	assert.ok(rows.every((cells) => cells[4]));
});
