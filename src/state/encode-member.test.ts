import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {maxUpstreamAgeMs} from '../protocol/constants.js';
import {
	recordSchema,
	type Member,
	type MemberRecord,
} from '../protocol/member.js';
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

test('the age of an upstream stays within its limit, however long it is passed on', () => {
	const upstream = {
		id: 'u',
		service: 'kitchens/pricebook',
		slots: 6,
		state: 'ready' as const,
		ageMs: Number.MAX_SAFE_INTEGER,
	};
	let record: MemberRecord = {
		...encodeMember(member, 0),
		upstreams: [upstream],
	};
	for (let hop = 0; hop < 3; hop++) {
		const passedOn = encodeMember(decodeMember(record, 0), 10_000);
		record = recordSchema.parse(passedOn);
	}

	assert.equal(record.upstreams[0]!.ageMs, maxUpstreamAgeMs);
});
