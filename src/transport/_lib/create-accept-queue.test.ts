import assert from 'node:assert/strict';
import {Socket} from 'node:net';
import test from 'node:test';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {createAcceptQueue, type AcceptedBatch} from './create-accept-queue.js';

function createQueue(lagMs = 0) {
	const batches: AcceptedBatch[] = [];
	const waits: number[] = [];
	let at = 100;
	const queue = createAcceptQueue({
		now: () => at,
		readMaxWait: () => lagMs,
		release(_socket, waitMs) {
			waits.push(waitMs);
		},
		onBatch(batch) {
			batches.push(batch);
		},
	});

	async function endTurns(count: number, turnMs: number): Promise<void> {
		for (let turn = 0; turn < count; turn++) {
			at += turnMs;
			await waitForTurn();
		}
	}

	return {
		batches,
		waits,
		endTurns,
		/** Accepts connections, one per event loop turn. */
		async acceptInTurns(count: number, turnMs: number): Promise<void> {
			for (let turn = 0; turn < count; turn++) {
				queue.add(new Socket());
				await endTurns(1, turnMs);
			}
		},
	};
}

test('connections are released after a turn without an accept', async () => {
	const {batches, waits, acceptInTurns, endTurns} = createQueue();
	await acceptInTurns(4, 10);
	assert.deepEqual(waits, []);
	await endTurns(2, 1);
	assert.deepEqual(waits, [41, 41, 41, 41]);
	assert.deepEqual(batches, [{count: 4, waitMs: 41}]);

	await acceptInTurns(1, 0);
	await endTurns(2, 0);
	assert.deepEqual(batches[1], {count: 1, waitMs: 0});
});

test('at most four connections are released per turn', async () => {
	const {batches, waits, acceptInTurns, endTurns} = createQueue();
	await acceptInTurns(10, 1);
	const released: number[] = [];
	for (let turn = 0; turn < 3; turn++) {
		await endTurns(1, 1);
		released.push(waits.length);
	}

	assert.deepEqual(released, [4, 8, 10]);
	assert.equal(batches.length, 1);
});

test('connections are released while others keep arriving, and their wait is reported', async () => {
	const {waits, acceptInTurns, endTurns} = createQueue();
	await acceptInTurns(10, 20);
	assert.ok(waits.length >= 8);
	await endTurns(4, 1);
	assert.equal(waits.length, 10);
	assert.deepEqual(waits.slice(0, 4), [60, 60, 60, 120]);
});

test('the wait of a connection includes the event loop lag', async () => {
	const {waits, acceptInTurns, endTurns} = createQueue(800);
	await acceptInTurns(1, 1);
	await endTurns(1, 1);
	assert.deepEqual(waits, [802]);
});
