import assert from 'node:assert/strict';
import test from 'node:test';
import {discoverUpstream} from './discover-upstream.js';

/** Seeks an upstream that answers at one of the probes. */
async function seek(answers: ReadonlyArray<string | undefined>, overAt = 99) {
	const found: string[] = [];
	let probes = 0;
	await discoverUpstream({
		shouldStop: () => probes >= overAt,
		async probe() {
			return answers[probes++];
		},
		onFound(upstream) {
			found.push(upstream);
		},
		async wait() {
			// The time between probes is not waited for.
		},
	});
	return {found, probes};
}

test('an upstream is found once it answers', async () => {
	assert.deepEqual(await seek([undefined, undefined, 'i-1', 'i-2']), {
		found: ['i-1'],
		probes: 3,
	});
});

test('what a probe finds does not replace what the upstream has said meanwhile', async () => {
	assert.deepEqual(await seek(['i-1'], 1), {found: [], probes: 1});
});

test('an upstream that does not answer is given up', async () => {
	assert.deepEqual(await seek([]), {found: [], probes: 20});
});
