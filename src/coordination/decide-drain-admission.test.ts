import assert from 'node:assert/strict';
import test from 'node:test';
import {decideDrainAdmission} from './decide-drain-admission.js';

const stop = {servesUntil: 2500, endsAt: 5850};

test('a draining node refuses requests that may outlast it', () => {
	const cases = [
		[0, 9000, true],
		[2499, 9000, true],
		[2500, 3350, true],
		[2500, 3351, false],
		[4350, 1500, true],
		[4351, 1500, false],
		[5850, 1, false],
	] as const;
	for (const [now, deadlineMs, expected] of cases) {
		assert.equal(
			decideDrainAdmission({...stop, now, deadlineMs}),
			expected,
			`${deadlineMs} ms at ${now}`,
		);
	}
});
