import assert from 'node:assert/strict';
import test from 'node:test';
import type {Logger} from './create-logger.js';
import {ownEdge} from './own-edge.js';
import {runWarmUp} from './run-warm-up.js';

function ignoreLine(): void {
	// The tests look at results only.
}

const logger: Logger = {
	error: ignoreLine,
	warn: ignoreLine,
	info: ignoreLine,
	debug: ignoreLine,
	child: () => logger,
};

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
