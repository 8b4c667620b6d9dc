import assert from 'node:assert/strict';
import test from 'node:test';
import {compareWaiting, type WaitingRequest} from './compare-waiting.js';

/** One minute of load that exceeds the capacity by a third. */
const slots = 6;
const serviceMs = 60;
const objectiveMs = 200;
const arrivalMs = (serviceMs / slots) * 0.75;

/** Counts the answers within the objective when each free slot goes to the first request in order. */
function countInTime(
	compare: (a: WaitingRequest, b: WaitingRequest) => number,
	canWait: (waiting: number) => boolean,
): number {
	const free = Array.from<number>({length: slots}).fill(0);
	let waiting: WaitingRequest[] = [];
	let inTime = 0;
	for (let now = 0; now < 60_000; now += arrivalMs) {
		for (;;) {
			const slot = free.indexOf(Math.min(...free));
			if (waiting.length === 0 || free[slot]! > now) {
				break;
			}

			const [next, ...rest] = waiting.toSorted(compare);
			waiting = rest;
			const startsAt = Math.max(free[slot]!, next!.dueAt - objectiveMs);
			free[slot] = startsAt + serviceMs;
			inTime += free[slot] <= next!.dueAt ? 1 : 0;
		}

		if (canWait(waiting.length)) {
			waiting.push({
				isLate: false,
				priority: 0,
				dueAt: now + objectiveMs,
			});
		}
	}

	return inTime;
}

test('overload: refusing requests that would be late keeps slots for answers in time', () => {
	const inFirstComeOrder = countInTime(compareWaiting, () => true);
	const maxWaiting = ((objectiveMs - serviceMs) / serviceMs) * slots - slots;
	const withRefusals = countInTime(
		compareWaiting,
		(waiting) => waiting < maxWaiting,
	);
	const capacity = 60_000 / (serviceMs / slots);
	assert.ok(inFirstComeOrder < capacity * 0.1, String(inFirstComeOrder));
	assert.ok(withRefusals > capacity * 0.9, String(withRefusals));
});

test('order: by lateness, then by priority, then by due time', () => {
	const waiting: readonly WaitingRequest[] = [
		{isLate: true, priority: 0, dueAt: 1},
		{isLate: false, priority: 2, dueAt: 2},
		{isLate: false, priority: 1, dueAt: 4},
		{isLate: false, priority: 1, dueAt: 3},
	];
	assert.deepEqual(
		waiting.toSorted(compareWaiting).map(({dueAt}) => dueAt),
		[3, 4, 2, 1],
	);
});

test('order: nested calls go before new work, by due time alone, so that no running request loses its work', () => {
	const waiting: readonly WaitingRequest[] = [
		{isLate: false, priority: 0, dueAt: 1},
		{isLate: false, priority: 0, dueAt: 9, isNested: true},
		{isLate: true, priority: 3, dueAt: 8, isNested: true},
	];
	assert.deepEqual(
		waiting.toSorted(compareWaiting).map(({dueAt}) => dueAt),
		[8, 9, 1],
	);
});
