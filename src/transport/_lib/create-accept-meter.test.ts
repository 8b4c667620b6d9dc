import assert from 'node:assert/strict';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import test from 'node:test';
import {createAcceptMeter, type AcceptedBatch} from './create-accept-meter.js';

test('connections accepted in one turn each are one batch, which ends with a turn without any', async () => {
	const batches: AcceptedBatch[] = [];
	let at = 100;
	const meter = createAcceptMeter({
		now: () => at,
		onBatch(batch) {
			batches.push(batch);
		},
	});

	for (let turn = 0; turn < 4; turn++) {
		meter.note();
		await waitForTurn();
		at += 15;
	}

	await waitForTurn();
	await waitForTurn();
	assert.deepEqual(batches, [{count: 4, waitMs: 45}]);

	meter.note();
	await waitForTurn();
	await waitForTurn();
	assert.deepEqual(batches[1], {count: 1, waitMs: 0});
});
