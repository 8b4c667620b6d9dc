import assert from 'node:assert/strict';
import test from 'node:test';
import {createScheduler} from '../../../harness/create-scheduler.js';
import {createEventLoop, type EventLoop} from './create-event-loop.js';

const share = 0.5;

function createLoop(deferredMs = 0) {
	const scheduler = createScheduler(1);
	const loop = createEventLoop({
		scheduler,
		share,
		readCostFactor: () => 1,
		acceptMs: 1,
		acceptsPerTurn: 1,
		releasesPerTurn: 4,
		deferredMs,
	});
	return {scheduler, loop};
}

function addSteps(loop: EventLoop, count: number, costMs: number): void {
	for (let index = 0; index < count; index++) {
		loop.read(() => ({costMs}));
	}
}

test('a step takes its cost divided by the share of the core', () => {
	const {scheduler, loop} = createLoop();
	let endedAt = 0;
	loop.read(() => ({
		costMs: 3,
		finish() {
			endedAt = scheduler.now();
		},
	}));
	scheduler.runUntil(100);
	assert.equal(endedAt, 6);
	assert.equal(loop.readUsedMs(), 3);
});

test('what is unread shows as lag', () => {
	const {scheduler, loop} = createLoop();
	scheduler.runUntil(20);
	addSteps(loop, 41, 1);
	scheduler.runUntil(80);
	assert.ok(loop.readLag() >= 25, `${loop.readLag()} ms`);
	scheduler.runUntil(1000);
	assert.ok(loop.readLag() < 1);
});

test('connections are accepted one a turn and read when none waits', () => {
	const {scheduler, loop} = createLoop();
	const waits: number[] = [];
	for (let index = 0; index < 3; index++) {
		loop.accept(({acceptWaitMs}) => {
			waits.push(acceptWaitMs);
			return {costMs: 0};
		});
	}

	scheduler.runUntil(5);
	assert.deepEqual(waits, []);
	scheduler.runUntil(10);
	assert.equal(waits.length, 3);
	assert.ok(Math.max(...waits) >= 6);
});

test('deferred steps run by rank after what can be read', () => {
	const {scheduler, loop} = createLoop(2);
	const order: string[] = [];
	const add = (name: string) => () => {
		order.push(name);
		return {costMs: 1};
	};

	addSteps(loop, 1, 1);
	loop.read(() => {
		loop.defer(2, add('low'));
		loop.defer(1, add('high'));
		return {costMs: 1};
	});
	loop.read(add('answer'));
	scheduler.runUntil(100);
	assert.deepEqual(order, ['answer', 'high', 'low']);
});
