import assert from 'node:assert/strict';
import test from 'node:test';
import {simulateIsolation} from './simulate-isolation.js';

const seed = 1;
const targetRatio = 1.1;

test('isolation: a noisy team costs the quiet one no answers', () => {
	assert.equal(simulateIsolation(5, seed).quietAnswered, 1);
});

test('isolation: the quiet p99 rises by at most a tenth beside a noisy team', () => {
	const alone = simulateIsolation(0, seed).quietP99Ms;
	const beside = simulateIsolation(5, seed).quietP99Ms;
	assert.ok(
		beside <= alone * targetRatio,
		`${beside.toFixed(1)} ms beside, ${alone.toFixed(1)} ms alone`,
	);
});
