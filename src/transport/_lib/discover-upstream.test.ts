import assert from 'node:assert/strict';
import test from 'node:test';
import {discoverUpstream} from './discover-upstream.js';

/** Runs a discovery whose probes return the given results. */
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
			// Probes follow each other without delay.
		},
	});
	return {found, probes};
}

test('an upstream is found once it answers a probe', async () => {
	assert.deepEqual(await seek([undefined, undefined, 'i-1', 'i-2']), {
		found: ['i-1'],
		probes: 3,
	});
});

test('the result of a probe is dropped if the upstream has announced itself in the meantime', async () => {
	assert.deepEqual(await seek(['i-1'], 1), {found: [], probes: 1});
});

test('discovery ends after the last probe without an answer', async () => {
	assert.deepEqual(await seek([]), {found: [], probes: 20});
});
