import assert from 'node:assert/strict';
import test from 'node:test';
import {
	loadHeader,
	noticeHeader,
	outcomeHeader,
	reasonHeader,
	stampHeader,
} from '../../protocol/request.js';
import {readGateOutcome} from './read-gate-outcome.js';

const headers = {
	[outcomeHeader]: 'not-run',
	[reasonHeader]: 'overloaded',
	[loadHeader]: '3/1/6',
	[stampHeader]: '12/a',
	'retry-after': '2',
};
const sound = {
	kind: 'not-run',
	reason: 'overloaded',
	retryAfterSeconds: 2,
	load: {inFlight: 3, queued: 1, slots: 6},
	stamp: {timeMs: 12, epoch: 'a'},
};

function read(changes: Readonly<Record<string, string>>) {
	return readGateOutcome({
		kind: 'answered',
		status: 503,
		headers: {...headers, ...changes},
		body: new Uint8Array(),
	});
}

test('an unreadable header of a gate costs itself only', () => {
	assert.deepEqual(read({}), sound);
	for (const odd of ['x', '', 'NaN', '1e400', 'Infinity', '-', '-1', '1e300']) {
		assert.deepEqual(read({'retry-after': odd}), {
			...sound,
			retryAfterSeconds: odd === '-1' ? 0 : 1,
		});
		assert.deepEqual(read({[loadHeader]: `${odd}/1/6`}), {
			...sound,
			load: undefined,
		});
		assert.deepEqual(read({[stampHeader]: `${odd}/a`}), {
			...sound,
			stamp: undefined,
		});
		assert.deepEqual(
			read({[noticeHeader]: `id=a&leaving=1&limit=${odd}`}).kind,
			'not-run',
		);
		assert.deepEqual(read({[reasonHeader]: odd}), {
			...sound,
			reason: 'connection-lost',
		});
	}

	const day = read({'retry-after': '9'.repeat(400)});
	assert.deepEqual(day, {...sound, retryAfterSeconds: 86_400});
});
