import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ObjectStore} from './object-store.js';

test('the history reaches back 10000 changes and no further', () => {
	const store = new ObjectStore();
	for (let version = 0; version < 25_000; version++) {
		store.write('a', version, version);
	}

	assert.equal(store.readChanges('', 14_999), undefined);
	const changes = store.readChanges('', 15_000);
	assert.equal(changes?.length, 10_000);
	assert.equal(changes[0]?.version, 15_001);
	assert.deepEqual(store.readChanges('', 25_000), []);
});
