import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {createLagMeter} from './create-lag-meter.js';

/** Starts a meter whose clock and timers move only when told to. */
function startMeter(t: TestContext) {
	t.mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	let at = 0;
	let reads = 0;
	const meter = createLagMeter(() => {
		reads++;
		return at;
	});
	t.after(meter.stop);
	return {
		meter,
		readClockReads: () => reads,
		/** Lets time pass without lag. */
		wait(ms: number) {
			for (let elapsed = 0; elapsed < ms; elapsed++) {
				at++;
				t.mock.timers.tick(1);
			}
		},
		/** Lets time pass in which no timer fires. */
		block(ms: number) {
			at += ms;
		},
	};
}

test('a node at rest does not wake often to measure its lag', (t) => {
	const {wait, readClockReads} = startMeter(t);
	wait(1000);
	const before = readClockReads();
	wait(1000);
	assert.ok(readClockReads() - before <= 20);
});

test('a node that was late while at rest is found late by the first request', (t) => {
	const {meter, wait, block} = startMeter(t);
	wait(1000);
	block(400);
	assert.ok(meter.read() >= 300);
	wait(25);
	assert.ok(meter.read() >= 200);
});

test('a lag that is over is forgotten as fast at rest as at work', (t) => {
	const {meter, wait, block} = startMeter(t);
	wait(1000);
	block(400);
	wait(1);
	wait(500);
	assert.ok(meter.read() < 10);
	wait(25);
	assert.ok(meter.read() < 10);
});

test('a node at work is found late within a period', (t) => {
	const {meter, wait, block} = startMeter(t);
	meter.read();
	wait(10);
	meter.read();
	block(100);
	assert.ok(meter.read() >= 60);
});

test('a stopped meter that is read once more keeps no timer', (t) => {
	const {meter, wait, readClockReads} = startMeter(t);
	wait(1000);
	meter.stop();
	meter.read();
	const before = readClockReads();
	wait(1000);
	assert.equal(readClockReads(), before);
});
