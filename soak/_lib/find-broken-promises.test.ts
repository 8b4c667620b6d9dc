import assert from 'node:assert/strict';
import test from 'node:test';
import {findBrokenPromises} from './find-broken-promises.js';
import type {ClientRecord, History, UpstreamRecord} from './history.js';

function createClient(changes: Partial<ClientRecord> = {}): ClientRecord {
	return {
		id: 'a',
		host: 'host-0',
		repeatable: false,
		bytes: 0,
		sentAt: 1000,
		endedAt: 1020,
		status: 200,
		body: 'ran a',
		answeredId: 'a',
		tellsLeaving: false,
		isSigned: true,
		expiresAt: 2000,
		...changes,
	};
}

function createRun(changes: Partial<UpstreamRecord> = {}): UpstreamRecord {
	return {
		id: 'a',
		upstream: 'i-1',
		at: 1010,
		hasRun: true,
		completesAt: 1015,
		bytes: 0,
		...changes,
	};
}

const last = createClient({
	id: 'z',
	body: 'ran z',
	answeredId: 'z',
	sentAt: 30_000,
});

/** What the client of a request sees that a node has given up. */
const gaveUp: Partial<ClientRecord> = {
	status: 504,
	body: '',
	answeredId: undefined,
	isSigned: false,
};

function judge(changes: Partial<History>): readonly string[] {
	const kinds = findBrokenPromises({
		clients: [],
		upstreams: [],
		statements: [],
		disturbances: [],
		faults: [],
		crashes: [],
		calmFrom: 10_000,
		...changes,
	});
	return kinds.map((problem) => problem.split(':', 1)[0]!);
}

const cases: ReadonlyArray<
	readonly [string, Partial<History>, readonly string[]]
> = [
	['a calm run', {clients: [createClient(), last]}, []],
	[
		'an answer to another request',
		{clients: [createClient({body: 'ran b', answeredId: 'b'}), last]},
		['mixed'],
	],
	[
		'a second run',
		{clients: [createClient(), last], upstreams: [createRun(), createRun()]},
		['twice'],
	],
	[
		'an upload that was cut and ran',
		{
			clients: [createClient({status: 0, bytes: 120_000}), last],
			upstreams: [createRun({bytes: 60_000})],
		},
		['cut body'],
	],
	[
		'a second run of what may be repeated',
		{
			clients: [createClient({repeatable: true}), last],
			upstreams: [createRun(), createRun()],
		},
		[],
	],
	[
		'a refusal of what has run',
		{clients: [createClient({status: 503}), last], upstreams: [createRun()]},
		['refused'],
	],
	[
		'a connection that a planned stop ended',
		{
			clients: [createClient({status: 0}), last],
			upstreams: [createRun()],
			disturbances: [{host: 'host-0', kind: 'term', from: 900, until: 2000}],
		},
		['cut'],
	],
	[
		'a request that a stopping node gave up while its upstream was at work',
		{
			clients: [createClient(gaveUp), last],
			upstreams: [createRun({completesAt: 1500})],
			disturbances: [{host: 'host-0', kind: 'term', from: 900, until: 2000}],
		},
		['given up'],
	],
	[
		'the same after a fault that was not planned',
		{
			clients: [createClient(gaveUp), last],
			upstreams: [createRun({completesAt: 1500})],
			disturbances: [{host: 'host-0', kind: 'term', from: 900, until: 2000}],
			faults: [{from: 100, until: 600}],
		},
		[],
	],
	[
		'a request that a stopping node gave up at its deadline',
		{
			clients: [createClient({...gaveUp, endedAt: 2001}), last],
			upstreams: [createRun({completesAt: 2500})],
			disturbances: [{host: 'host-0', kind: 'term', from: 900, until: 2000}],
		},
		[],
	],
	[
		'a connection that a kill ended',
		{
			clients: [createClient({status: 0}), last],
			upstreams: [createRun()],
			disturbances: [{host: 'host-0', kind: 'kill', from: 900, until: 2000}],
		},
		[],
	],
	[
		'a request to an upstream that left',
		{
			clients: [
				createClient({id: 'b', body: 'ran b', answeredId: 'b'}),
				createClient({tellsLeaving: true}),
				last,
			],
			upstreams: [createRun(), createRun({id: 'b', at: 4000})],
			statements: [
				{
					upstream: 'i-1',
					statement: {kind: 'leaving'},
					from: 1000,
					until: 9000,
				},
			],
		},
		['leaving'],
	],
	[
		'more requests than a limit allows',
		{
			clients: [last],
			upstreams: Array.from({length: 40}, (_, index) =>
				createRun({id: `r${index}`, at: 5000 + index}),
			),
			statements: [
				{
					upstream: 'i-1',
					statement: {kind: 'limit', perSecond: 5},
					from: 1000,
					until: 9000,
				},
			],
		},
		['limit'],
	],
	['no service in the end', {clients: [createClient()]}, ['recovery']],
	['a crash', {clients: [last], crashes: ['crash: host-0']}, ['crash']],
];

for (const [name, changes, expected] of cases) {
	test(`${name}: ${expected.join(', ') || 'nothing broken'}`, () => {
		assert.deepEqual(judge(changes), expected);
	});
}
