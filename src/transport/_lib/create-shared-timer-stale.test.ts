import assert from 'node:assert/strict';
import test from 'node:test';
import {createSharedTimer} from './create-shared-timer.js';

test('an item that starts while an outdated timer fires is not due at once', (t) => {
	t.mock.timers.enable({apis: ['setTimeout', 'setImmediate']});
	let time = 0;
	const due: string[] = [];
	const timer = createSharedTimer<string>({
		onDue(item) {
			due.push(item);
		},
		isPostPoll: true,
		now: () => time,
	});
	let handlePoll: (() => void) | undefined;
	const originalImmediate = globalThis.setImmediate;
	t.after(() => {
		globalThis.setImmediate = originalImmediate;
	});
	const pending: Array<() => void> = [];
	// The fake does what the timer uses.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	globalThis.setImmediate = ((callback: (at: number) => void, at: number) => {
		pending.push(() => {
			callback(at);
		});
	}) as unknown as typeof setImmediate;
	const runImmediates = (): void => {
		handlePoll?.();
		for (const run of pending.splice(0)) {
			run();
		}
	};

	timer.start('first', 10.9);
	// Node.js truncates the delay, so that the timer fires up to 1 ms early.
	time = 10.2;
	t.mock.timers.tick(11);
	handlePoll = () => {
		timer.start('second', 0.1);
	};

	runImmediates();
	handlePoll = undefined;
	assert.deepEqual(due, ['first', 'second']);
	time = 12;
	t.mock.timers.tick(2);
	handlePoll = () => {
		timer.start('third', 250);
	};

	runImmediates();
	assert.deepEqual(due, ['first', 'second']);
});
