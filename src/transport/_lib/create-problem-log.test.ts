import assert from 'node:assert/strict';
import test from 'node:test';
import {createProblemLog} from './create-problem-log.js';

const problem = {place: 'members/marka', reason: 'addresses.0: no address'};

function start() {
	const lines: unknown[] = [];
	const clock = {nowMs: 0};
	const logProblems = createProblemLog(
		{
			warn(_message, fields) {
				lines.push(fields);
			},
		},
		'not readable',
		() => clock.nowMs,
	);
	return {lines, clock, logProblems};
}

test('a problem that is found at every read is logged once', () => {
	const {lines, clock, logProblems} = start();
	for (let read = 0; read < 1000; read++) {
		clock.nowMs += 1000;
		logProblems([problem]);
	}

	logProblems([problem, {...problem, reason: 'memberCount: no number'}]);
	assert.equal(lines.length, 2);
});

test('the problems of one read that are not logged are counted', () => {
	const {lines, logProblems} = start();
	const problems = Array.from({length: 10_000}, (_, index) => ({
		...problem,
		place: `members[${index}]`,
	}));
	logProblems(problems);
	logProblems(problems);
	assert.equal(lines.length, 16);
	assert.deepEqual(lines[0], {...problems[0], omitted: 9984});
});
