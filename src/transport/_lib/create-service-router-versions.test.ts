import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleMember} from '../../../harness/create-sample-member.js';
import {createSilentLogger} from '../../../harness/create-silent-logger.js';
import type {Candidate} from '../../protocol/member.js';
import {createForwarder} from '../create-forwarder.js';
import {startGateTask} from '../start-gate-task.js';
import type {VersionChoice} from '../version-picker.js';
import {createServiceRouter} from './create-service-router.js';

const service = 'profiles';

function createCandidate(host: string, version: string): Candidate {
	const address = `${host}:1`;
	const dataCentre = 'abdali';
	return {host, address, dataCentre, slots: 4, sinceMs: 0, versions: [version]};
}

/** Creates a router whose requests get one choice, and their retries another. */
function createRouter(
	candidates: readonly Candidate[],
	first: readonly string[],
	retry: readonly string[],
) {
	const logger = createSilentLogger();
	const limited = {version: 'v2', hosts: 1};
	const router = createServiceRouter({
		name: 'own',
		dataCentre: 'abdali',
		gate: startGateTask({logger}),
		forwarder: createForwarder(),
		logger,
		now: () => 0,
		random: () => 0.5,
		rollouts: {
			pick: (_service, isRetry): VersionChoice => ({
				versions: isRetry ? retry : first,
				limited,
				mayFallBack: true,
			}),
			recordChoice() {
				// Choices are not counted.
			},
			recordAttempt() {
				// No attempt is made.
			},
		},
	});
	const self = createSampleMember({name: 'own'});
	const view = {self, members: [self]};
	router.updateMembers({...view, candidates: new Map([[service, candidates]])});
	return router;
}

const mixed = [
	createCandidate('a', 'v1'),
	createCandidate('b', 'v2'),
	createCandidate('c', 'v2'),
];

test('a request goes to a host of its version, and its retry to one of the old version', () => {
	const router = createRouter(mixed, ['v2', 'v1'], ['v1', 'v2']);
	const selection = router.select(service, undefined);
	const first = selection.pickGate();
	const second = selection.pickGate();
	assert.ok(typeof first !== 'string' && typeof second !== 'string');
	assert.equal(first.version, 'v2');
	assert.deepEqual([second.host.host, second.version], ['a', 'v1']);
});

test('a canary goes to the same few hosts', () => {
	const router = createRouter(mixed, ['v2'], ['v2']);
	const picked = new Set<string>();
	for (let count = 0; count < 20; count++) {
		const gate = router.select(service, undefined).pickGate();
		assert.ok(typeof gate !== 'string');
		picked.add(gate.host.host);
	}

	assert.equal(picked.size, 1);
});

test('without a host of the preferred version the next allowed one is taken, and never one that is not allowed', () => {
	const [old] = mixed;
	const router = createRouter([old!], ['v2', 'v1'], []);
	const gate = router.select(service, undefined).pickGate();
	assert.ok(typeof gate !== 'string');
	assert.equal(gate.version, 'v1');
	const strict = createRouter([old!], ['v2'], ['v2']);
	assert.equal(strict.select(service, undefined).pickGate(), 'pending');
});
