import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {createLagMeter} from './create-lag-meter.js';

/** Starts a meter with a mocked clock and mocked timers. */
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
		/** Advances the time without lag. */
		wait(ms: number) {
			for (let elapsed = 0; elapsed < ms; elapsed++) {
				at++;
				t.mock.timers.tick(1);
			}
		},
		/** Advances the time while no timer fires. */
		block(ms: number) {
			at += ms;
		},
	};
}

test('an idle node rarely wakes to measure its lag', (t) => {
	const {wait, readClockReads} = startMeter(t);
	wait(1000);
	const before = readClockReads();
	wait(1000);
	assert.ok(readClockReads() - before <= 20);
});

test('a lag that arises on an idle node is seen by the first read', (t) => {
	const {meter, wait, block} = startMeter(t);
	wait(1000);
	block(400);
	assert.ok(meter.read() >= 300);
	wait(25);
	assert.ok(meter.read() >= 200);
});

test('a past lag decays as fast on an idle node as on a busy one', (t) => {
	const {meter, wait, block} = startMeter(t);
	wait(1000);
	block(400);
	wait(1);
	wait(500);
	assert.ok(meter.read() < 10);
	wait(25);
	assert.ok(meter.read() < 10);
});

test('a lag on a busy node is seen within one period', (t) => {
	const {meter, wait, block} = startMeter(t);
	meter.read();
	wait(10);
	meter.read();
	block(100);
	assert.ok(meter.read() >= 60);
});

// Data that arrives at the start of a long turn is read at the end of the next one.
test('data may have waited for two turns in a row', (t) => {
	const {meter, wait, block} = startMeter(t);
	meter.read();
	wait(10);
	block(400);
	wait(15);
	block(300);
	assert.ok(meter.read() <= 400);
	assert.ok(meter.readMaxWait() >= 650);
	wait(50);
	assert.ok(meter.readMaxWait() < 25);
});

test('a lag that arises on an idle node counts until the first reads are done', (t) => {
	const {meter, wait, block} = startMeter(t);
	wait(1000);
	block(400);
	meter.read();
	assert.ok(meter.readMaxWait() >= 300);
	wait(24);
	assert.ok(meter.readMaxWait() >= 300);
	wait(50);
	assert.ok(meter.readMaxWait() < 25);
});

test('reading a stopped meter starts no timer', (t) => {
	const {meter, wait, readClockReads} = startMeter(t);
	wait(1000);
	meter.stop();
	meter.read();
	const before = readClockReads();
	wait(1000);
	assert.equal(readClockReads(), before);
});
