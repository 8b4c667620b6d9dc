import assert from 'node:assert/strict';
import test from 'node:test';
import {
	simulateRollout,
	type SimulationOptions,
} from '../../../harness/simulate-rollout.js';

/** Creates a seeded random number generator (Park and Miller, 1988). */
function createRandom(seed: number): () => number {
	const modulus = 2_147_483_647;
	let state = seed * 7919 + 12_345;
	return () => {
		state = (state * 48_271) % modulus;
		return state / modulus;
	};
}

test('no good version is rolled back, and each is completed before the deadline, in 1,000 runs', () => {
	for (let seed = 0; seed < 1000; seed++) {
		const {state, endedAt} = simulateRollout({
			random: createRandom(seed),
			durationMs: seed % 2 === 0 ? 20_000 : 30_000,
			rate: seed % 3 === 0 ? 20 : 60,
			failureShare: [0.001, 0.02, 0.3][seed % 3]!,
			hosts: 6,
		});
		assert.equal(state, 'completed', `seed ${seed}`);
		assert.ok(endedAt <= (seed % 2 === 0 ? 19_000 : 28_000), `seed ${seed}`);
	}
});

const badVersions: Readonly<
	Record<string, NonNullable<SimulationOptions['target']>>
> = {
	failing: ({random}) => ({isFailed: random() < 0.45}),
	slow: () => ({slowness: 8}),
	'failing under load': ({load, random}) => ({
		isFailed: load > 2 && random() < 0.5,
	}),
	'failing on one route': ({route, random}) => ({
		isFailed: route === 'renewal' && random() < 0.45,
	}),
	'slow on one route': ({route}) => ({slowness: route === 'renewal' ? 8 : 1}),
	'failing late': ({elapsedRatio, random}) => ({
		isFailed: elapsedRatio > 0.6 && random() < 0.45,
	}),
	'slow late': ({elapsedRatio}) => ({slowness: elapsedRatio > 0.6 ? 8 : 1}),
	'failing during the ramp': ({elapsedRatio, random}) => ({
		isFailed: elapsedRatio > 0.79 && random() < 0.45,
	}),
};

for (const [name, target] of Object.entries(badVersions)) {
	test(`a version that is ${name} is rolled back within the bound of its exposure`, () => {
		for (let seed = 0; seed < 20; seed++) {
			const {state, exposed, total} = simulateRollout({
				random: createRandom(seed),
				target,
				rate: 300,
			});
			assert.equal(state, 'rolled-back', `seed ${seed}`);
			assert.ok(exposed <= 0.1 * total + 50, `seed ${seed}: ${exposed}`);
		}
	});
}

test('a version without an upstream is given up shortly before the deadline', () => {
	const {state} = simulateRollout({random: createRandom(1), hosts: 0, rate: 0});
	assert.equal(state, 'rolled-back');
});
