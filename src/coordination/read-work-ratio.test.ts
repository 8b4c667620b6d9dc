import assert from 'node:assert/strict';
import test from 'node:test';
import {readWorkRatio} from './read-work-ratio.js';

test('an old report no longer slows the expected times', () => {
	const report = {ratio: 3, at: 1000};
	assert.equal(readWorkRatio(undefined, 1000), 1);
	assert.equal(readWorkRatio(report, 1000), 3);
	assert.equal(readWorkRatio(report, 1500), 2);
	assert.ok(readWorkRatio(report, 20_000) < 1.01);
});
