import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {recordSchema, type Member} from '../protocol/member.js';
import {decodeMember} from './decode-member.js';
import {encodeMember} from './encode-member.js';

const member = createSampleMember();

test('a capacity is sent only if it differs from the reference capacity', () => {
	const sent = ([undefined, 1000, 5] as const).map((capacity) =>
		encodeMember({...member, capacity}, 0),
	);
	assert.deepEqual(
		sent.map((record) => JSON.stringify(record).includes('capacity')),
		[false, false, true],
	);
	const received = decodeMember(recordSchema.parse(sent[2]), 0);
	assert.equal(received.capacity, 5);
});
