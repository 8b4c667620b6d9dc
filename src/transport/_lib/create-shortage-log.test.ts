import assert from 'node:assert/strict';
import test from 'node:test';
import type {
	GateEvent,
	RefusalEvent,
	RequestEvent,
} from '../../protocol/observer.js';
import {createShortageLog} from './create-shortage-log.js';

const hop = {
	requestId: 'a',
	team: '',
	service: 'pricebook',
	parentTraceparent: undefined,
	traceparent: undefined,
	durationMs: 0,
};
const answered: Omit<RequestEvent, 'startedAtMs'> = {
	...hop,
	route: 'prices',
	method: 'GET',
	outcome: 'answered',
	reason: undefined,
	status: 200,
	attempts: 1,
	lagMs: 0,
	isReturned: false,
};
const ended: Omit<GateEvent, 'startedAtMs'> = {
	...hop,
	attemptId: 'a.1',
	outcome: 'answered',
	reason: undefined,
	status: 200,
	queuedMs: 0,
	ageMs: undefined,
	unreadMs: 0,
	isForwarded: false,
	sendWaitMs: undefined,
};
const refused: RefusalEvent = {
	place: 'caller',
	route: 'prices',
	reason: 'overloaded',
	isReturned: true,
	hasFreeSlot: undefined,
};

type Line = {
	readonly message: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

function createLog() {
	const lines: Line[] = [];
	let at = 0;
	let useMs = 0;
	const {onRequest, onRefusal, onGate} = createShortageLog({
		logger: {
			warn(message, fields = {}) {
				lines.push({message, fields});
			},
		},
		readUse: () => ({userMs: useMs, systemMs: useMs / 2, busyMs: useMs * 2}),
		now: () => at,
	});
	return {
		lines,
		end(event: Partial<RequestEvent> = {}) {
			onRequest?.({...answered, ...event, startedAtMs: at});
		},
		endAttempt() {
			onGate?.({...ended, startedAtMs: at});
		},
		refuse(event: Partial<RefusalEvent> = {}) {
			onRefusal?.({...refused, ...event});
		},
		use(ms: number) {
			useMs += ms;
		},
		wait(ms: number) {
			at += ms;
		},
	};
}

test('a short node logs one line a second, with its processor time and what it was used for', () => {
	const log = createLog();
	log.end();
	log.end({status: 500, lagMs: 30.4, attempts: 2});
	log.end({outcome: 'not-run', reason: 'saturated', isReturned: true});
	log.end({outcome: 'unknown', reason: 'deadline', route: 'counts'});
	log.refuse();
	log.refuse({isReturned: false});
	log.refuse({reason: 'leaving', route: undefined, isReturned: undefined});
	log.refuse({place: 'gate', reason: 'saturated', hasFreeSlot: false});
	log.refuse({place: 'gate', reason: 'saturated', hasFreeSlot: true});
	log.endAttempt();
	log.use(300);
	log.wait(999);
	log.end();
	assert.deepEqual(log.lines, []);
	log.wait(201);
	log.end();
	assert.deepEqual(log.lines, [
		{
			message: 'node short of processor time',
			fields: {
				windowMs: 1200,
				userMs: 300,
				systemMs: 150,
				busyMs: 600,
				lagMs: 30,
				attempts: 6,
				returned: 2,
				returnedRefused: 2,
				gateEnded: 1,
				refusedOnArrival: {overloaded: 2, leaving: 1},
				gateRefused: {saturated: 2},
				gateRefusedFree: 1,
				routes: {
					prices: {answered: 3, failed: 1, refused: 3, unknown: 0},
					counts: {answered: 0, failed: 0, refused: 0, unknown: 1},
				},
			},
		},
	]);
});

test('a late request and an attempt refused for lag count as short, other refusals do not', () => {
	const log = createLog();
	log.end({lagMs: 49});
	log.refuse({reason: 'team-limit'});
	log.refuse({place: 'gate', reason: 'saturated', isReturned: undefined});
	log.wait(1000);
	log.end({lagMs: 50});
	assert.equal(log.lines.length, 0);
	log.wait(1000);
	log.refuse({place: 'gate', isReturned: undefined});
	assert.equal(log.lines.length, 1);
	log.wait(1000);
	log.endAttempt();
	assert.equal(log.lines.length, 2);
	log.wait(5000);
	log.endAttempt();
	assert.equal(log.lines.length, 2);
});

test('a line has a bounded number of routes', () => {
	const log = createLog();
	for (let route = 0; route < 40; route++) {
		log.refuse({route: `route-${route}`});
	}

	log.wait(1000);
	log.end();
	const fields = log.lines[0]?.fields ?? {};
	assert.equal(Object.keys(fields.routes ?? {}).length, 16);
	assert.deepEqual(fields.refusedOnArrival, {overloaded: 40});
});
