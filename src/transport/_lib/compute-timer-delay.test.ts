import assert from 'node:assert/strict';
import {once} from 'node:events';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {maxTimerMs} from '../../protocol/constants.js';
import {computeTimerDelay} from './compute-timer-delay.js';
import {createCancelSource} from './create-cancel-source.js';
import {raceResult} from './race-result.js';
import {startPostPollTimer} from './start-post-poll-timer.js';
import {waitMs} from './wait-ms.js';

const longDelaysMs = [maxTimerMs + 1, 2 ** 32, Number.POSITIVE_INFINITY];

test('a delay that a timer keeps stays as it is', () => {
	for (const delayMs of [0, 0.5, 250, maxTimerMs]) {
		assert.equal(computeTimerDelay(delayMs), delayMs);
	}

	for (const delayMs of longDelaysMs) {
		assert.equal(computeTimerDelay(delayMs), maxTimerMs);
	}
});

// Regression: Node.js ran such timers after 1 ms, and a request ended at once.
test('waits longer than a timer keeps do not end at once', async () => {
	for (const delayMs of longDelaysMs) {
		const ended: string[] = [];
		const record = (name: string) => () => {
			ended.push(name);
		};

		const timer = startPostPollTimer(record('timer'), delayMs);
		const source = createCancelSource();
		const controller = new AbortController();
		void raceResult(
			once(new EventTarget(), 'never'),
			delayMs,
			source.signal,
		).then(record('race'));
		void waitMs(delayMs, controller.signal).then(record('wait'));
		await sleep(50);
		timer.stop();
		assert.deepEqual(ended, [], `${delayMs} ms`);
		source.abort();
		controller.abort();
	}
});
