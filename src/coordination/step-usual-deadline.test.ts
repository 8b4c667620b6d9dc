import assert from 'node:assert/strict';
import test from 'node:test';
import {computeRequestAge} from './compute-request-age.js';
import {stepUsualDeadline, type UsualDeadline} from './step-usual-deadline.js';

function applyDeadlines(
	deadlines: readonly number[],
): UsualDeadline | undefined {
	let usual: UsualDeadline | undefined;
	for (const deadlineMs of deadlines) {
		usual = stepUsualDeadline(usual, deadlineMs);
	}

	return usual;
}

test('the usual deadline is detected among retries of clients', () => {
	const deadlines = Array.from({length: 300}, (_, index) =>
		index % 5 < 2 ? 400 + ((index * 37) % 700) : 1200,
	);
	const usual = applyDeadlines(deadlines);
	assert.equal(usual?.deadlineMs, 1200);
	assert.equal(computeRequestAge(usual, 1200), 0);
	assert.equal(computeRequestAge(usual, 1050), 150);
});

test('a few requests with long deadlines do not make the others count as retries', () => {
	const deadlines = Array.from({length: 300}, (_, index) =>
		index % 20 === 0 ? 3600 : 1200,
	);
	const usual = applyDeadlines(deadlines);
	assert.equal(computeRequestAge(usual, 1200), 0);
	assert.equal(computeRequestAge(usual, 3600), 0);
});

test('a new usual deadline is detected', () => {
	const usual = applyDeadlines([
		...Array.from({length: 200}, () => 1200),
		...Array.from({length: 120}, () => 900),
	]);
	assert.equal(usual?.deadlineMs, 900);
});
