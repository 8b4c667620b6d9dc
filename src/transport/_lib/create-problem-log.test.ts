import assert from 'node:assert/strict';
import test from 'node:test';
import {createProblemLog} from './create-problem-log.js';

const problem = {place: 'records[b]', reason: 'odd'};

function start() {
	const lines: Array<Readonly<Record<string, unknown>> | undefined> = [];
	const clock = {nowMs: 0};
	const logProblems = createProblemLog({
		logger: {
			warn(_message, fields) {
				lines.push(fields);
			},
		},
		message: 'not readable',
		now: () => clock.nowMs,
	});
	return {lines, clock, logProblems};
}

test('a problem that keeps occurring is logged once', () => {
	const {lines, clock, logProblems} = start();
	for (let count = 0; count < 3 * 3600; count++) {
		clock.nowMs += 1000;
		logProblems([problem], 'a');
	}

	assert.deepEqual(lines, [{source: 'a', ...problem, omitted: 0}]);
	logProblems([problem, {...problem, reason: 'no number'}]);
	assert.equal(lines.length, 2);
});

test('many different problems are logged at a bounded rate, and the others counted', () => {
	const {lines, clock, logProblems} = start();
	const problems = Array.from({length: 100_000}, (_, index) => ({
		place: `records[${index}]`,
		reason: 'odd',
	}));
	logProblems(problems);
	assert.equal(lines.length, 16);
	clock.nowMs = 60_000;
	logProblems([problem]);
	assert.equal(lines.length, 17);
	const omitted = lines.map((fields) => Number(fields?.omitted));
	assert.equal(
		omitted.reduce((sum, count) => sum + count, 0),
		problems.length - 16,
	);
});
