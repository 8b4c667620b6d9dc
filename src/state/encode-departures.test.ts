import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {maxDepartureMs} from '../protocol/constants.js';
import type {Departure, Sender} from '../protocol/member.js';
import {decodeDepartures} from './decode-departures.js';
import {decodeExchange} from './decode-exchange.js';
import {decodeExchangeAnswer} from './decode-exchange-answer.js';
import {decodeMember} from './decode-member.js';
import {encodeDepartures} from './encode-departures.js';
import {encodeMember} from './encode-member.js';

const departure: Departure = {
	id: 'u',
	incarnation: 7,
	address: '127.0.0.1:9000',
	endsAt: 60_000,
};
const from: Sender = {
	name: 'abdali-2',
	dataCentre: 'abdali',
	address: '10.0.0.2:8081',
	incarnation: 1,
	sequence: 0,
	startedMs: 1,
};

test('a departure keeps its remaining time on the clock of the receiver', () => {
	const sent = encodeDepartures([departure], 20_000);
	assert.deepEqual(decodeDepartures(sent, 500), [
		{...departure, endsAt: 40_500},
	]);
	assert.deepEqual(encodeDepartures([departure], 60_000), []);
});

test('a departure ends after a bounded time, whatever is received', () => {
	const [received] = decodeDepartures(
		[{id: 'u', incarnation: 7, address: '', remainingMs: 1e15}],
		0,
	);
	assert.equal(received?.endsAt, maxDepartureMs);
});

test('a record without departures has no field for them', () => {
	const member = {...createSampleMember(), departures: [departure]};
	assert.equal('departures' in encodeMember(member, 60_000), false);
	assert.deepEqual(
		decodeMember(encodeMember(member, 0), 0).departures,
		member.departures,
	);
});

test('departures that cannot be read cost themselves only, in records and in answers', () => {
	const {endsAt: _endsAt, ...rest} = departure;
	const readable = {...rest, remainingMs: 5};
	const departures = [readable, {...readable, incarnation: 'odd'}, 'odd'];
	const record = {...encodeMember(createSampleMember(), 0), departures};
	const {value: ping, unreadable} = decodeExchange({
		kind: 'ping',
		from,
		records: [record],
	});
	assert.equal(ping.kind, 'ping');
	assert.deepEqual(ping.kind === 'ping' && ping.records[0]?.departures, [
		readable,
	]);
	assert.equal(unreadable.length, 2);

	const answers = [
		{kind: 'ack', from, records: [], needsRecord: false, departures},
		{kind: 'digests', from, buckets: {}, departures},
	];
	for (const encoded of answers) {
		const answer = decodeExchangeAnswer(encoded)._unsafeUnwrap();
		assert.deepEqual('departures' in answer.value && answer.value.departures, [
			readable,
		]);
		assert.equal(answer.unreadable.length, 2);
	}
});
