import assert from 'node:assert/strict';
import test from 'node:test';
import type {RefusalEvent} from '../../protocol/observer.js';
import {createRefusalCounter} from './create-refusal-counter.js';

const event: RefusalEvent = {
	place: 'caller',
	route: 'prices',
	reason: 'overloaded',
	isReturned: false,
	hasFreeSlot: undefined,
};

test('refusals that are alike are counted together, until they are taken', () => {
	const counter = createRefusalCounter();
	counter.record(event);
	counter.record({...event, isReturned: true});
	counter.record({...event});
	counter.record({...event, place: 'gate', isReturned: undefined});
	counter.record({...event, hasFreeSlot: true});
	counter.record({...event, route: undefined});
	assert.deepEqual(counter.take(), [
		{...event, count: 2},
		{...event, isReturned: true, count: 1},
		{...event, place: 'gate', isReturned: undefined, count: 1},
		{...event, hasFreeSlot: true, count: 1},
		{...event, route: undefined, count: 1},
	]);
	counter.record(event);
	assert.deepEqual(counter.take(), [{...event, count: 1}]);
	assert.deepEqual(counter.take(), []);
});
