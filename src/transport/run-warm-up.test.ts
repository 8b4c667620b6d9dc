import assert from 'node:assert/strict';
import test from 'node:test';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {ownEdge} from './own-edge.js';
import {runWarmUp} from './run-warm-up.js';

const logger = createSilentLogger();

test('runs sample requests through both hops', async () => {
	const options = {edge: ownEdge, logger, isIdle: () => true, requests: 40};
	assert.equal(await runWarmUp(options), 40);
});

test('ends when the node is needed', async () => {
	let looks = 0;
	const isIdle = (): boolean => {
		looks++;
		return looks <= 10;
	};

	const answered = await runWarmUp({edge: ownEdge, logger, isIdle});
	assert.equal(answered, 10);
});
