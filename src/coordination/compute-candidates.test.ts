import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {recordSchema} from '../protocol/member.js';
import {decodeMember} from '../state/decode-member.js';
import {encodeMember} from '../state/encode-member.js';
import {computeCandidates} from './compute-candidates.js';

const ready = {
	service: 'profiles',
	slots: 4,
	state: 'ready',
	since: 0,
} as const;

test('a candidate has the versions of its ready upstreams, which travel with the record', () => {
	const member = createSampleMember({
		upstreams: [
			{...ready, id: 'a', version: 'v1'},
			{...ready, id: 'b', version: 'v2'},
			{...ready, id: 'c'},
			{...ready, id: 'd', version: 'v3', state: 'leaving'},
		],
	});
	const text = JSON.stringify(encodeMember(member, 5));
	const received = decodeMember(recordSchema.parse(JSON.parse(text)), 5);
	const [candidate] = computeCandidates([received]).get('profiles')!;
	assert.deepEqual(candidate?.versions, ['v1', 'v2']);
});

test('a version that cannot be read costs neither the upstream nor the record', () => {
	const member = createSampleMember({upstreams: [{...ready, id: 'a'}]});
	const record = encodeMember(member, 5);
	const odd = {...record.upstreams[0], version: 7};
	const received = recordSchema.parse({...record, upstreams: [odd]});
	const [candidate] = computeCandidates([decodeMember(received, 5)]).get(
		'profiles',
	)!;
	assert.equal(candidate?.slots, 4);
	assert.equal(candidate?.versions, undefined);
});
