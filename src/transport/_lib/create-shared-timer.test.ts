import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {createSharedTimer} from './create-shared-timer.js';

/** Creates a timer on a simulated clock, which records the items that become due. */
function createSample(t: TestContext) {
	t.mock.timers.enable({apis: ['setTimeout']});
	let time = 0;
	const due: Array<readonly [string, number]> = [];
	const timer = createSharedTimer<string>({
		onDue(item) {
			due.push([item, time]);
		},
		now: () => time,
	});
	return {
		timer,
		due,
		/** Moves the clock; the event loop runs only every `stepMs`. */
		advance(ms: number, stepMs = 1) {
			for (const end = time + ms; time < end;) {
				time += stepMs;
				t.mock.timers.tick(stepMs);
			}
		},
	};
}

test('each item becomes due once, at its own time', (t) => {
	const {timer, due, advance} = createSample(t);
	timer.start('late', 300);
	timer.start('early', 100);
	advance(50);
	timer.start('between', 150);
	timer.start('stopped', 20);
	timer.stop('stopped');
	advance(1000);
	assert.deepEqual(due, [
		['early', 100],
		['between', 200],
		['late', 300],
	]);
});

test('an item that is started again is due at its later time only', (t) => {
	const {timer, due, advance} = createSample(t);
	timer.start('a', 100);
	advance(60);
	timer.start('a', 100);
	advance(500);
	assert.deepEqual(due, [['a', 160]]);
});

test('a late event loop misses no item', (t) => {
	const {timer, due, advance} = createSample(t);
	timer.start('a', 100);
	timer.start('b', 130);
	timer.start('c', 260);
	advance(600, 200);
	assert.deepEqual(due, [
		['a', 200],
		['b', 200],
		['c', 400],
	]);
});

test('items may be stopped and started while others become due', (t) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	let time = 0;
	const due: string[] = [];
	const timer = createSharedTimer<string>({
		onDue(item) {
			due.push(`${item} ${time}`);
			timer.stop('b');
			if (time < 300) {
				timer.start('a', 100);
			}
		},
		now: () => time,
	});
	timer.start('a', 100);
	timer.start('b', 100);
	while (time < 1000) {
		time++;
		t.mock.timers.tick(1);
	}

	assert.deepEqual(due, ['a 100', 'a 200', 'a 300']);
});

test('can wait until the sockets have been read', (t) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	const immediates: Array<() => void> = [];
	t.mock.method(
		globalThis,
		'setImmediate',
		(callback: (at: number) => void, at: number) => {
			immediates.push(() => {
				callback(at);
			});
		},
	);
	let time = 0;
	const due: string[] = [];
	const timer = createSharedTimer<string>({
		onDue(item) {
			due.push(item);
		},
		isPostPoll: true,
		now: () => time,
	});
	timer.start('a', 250);
	timer.start('b', 251);
	time = 250;
	t.mock.timers.tick(250);
	assert.deepEqual(due, []);
	assert.equal(immediates.length, 1);
	// What expires during the poll phase waits for the next one.
	time = 260;
	immediates[0]!();
	assert.deepEqual(due, ['a']);
});
