import assert from 'node:assert/strict';
import test from 'node:test';
import {createLocalUpstream, findLocalUpstream} from './local-upstream.js';

function createUpstream(id: string, version: string) {
	return createLocalUpstream(
		id,
		{
			team: '',
			service: 'profiles',
			address: '127.0.0.1:1',
			slots: 4,
			connections: 4,
			state: 'ready',
			version,
		},
		() => 0,
	);
}

test('an attempt for a version never runs at another, nor one without a version at the version that came later', () => {
	const old = createUpstream('a', 'v1');
	const next = createUpstream('b', 'v2');
	old.inFlight = 3;
	const find = (version?: string) =>
		findLocalUpstream([old, next], 'profiles', version);
	assert.equal(find('v2').upstream, next);
	assert.equal(find('v1').upstream, old);
	assert.equal(find().upstream, old);
	assert.equal(find('v3').state, 'no-upstream');
});
