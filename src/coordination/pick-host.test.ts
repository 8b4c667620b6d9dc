import assert from 'node:assert/strict';
import test from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {Candidate} from '../protocol/member.js';
import {isUnreachable} from './is-unreachable.js';
import {pickHost} from './pick-host.js';
import {
	stepHostRecord,
	type HostMessage,
	type HostRecord,
} from './step-host-record.js';

const now = 100_000;
const candidates: readonly Candidate[] = [
	'abdali-1',
	'abdali-2',
	'abdali-3',
	'marka-1',
].map((host) => ({
	host,
	address: host,
	dataCentre: host.split('-')[0]!,
	slots: 6,
	sinceMs: 0,
}));

const idle: HostRecord = {
	ownInFlight: 0,
	reportedShare: 0.3,
	reportedAt: now,
	errorShare: 0,
	latencyMs: 1,
	samples: 100,
	inUseSince: 0,
	ejectedUntil: 0,
	ejections: 0,
	sentAt: now,
};

/** Share of 4000 picks that each host gets. */
function sharePicks(changes: Readonly<Record<string, Partial<HostRecord>>>) {
	const generator = xoroshiro128plus(7);
	const records = new Map(
		candidates.map(({host}) => [host, {...idle, ...changes[host]}]),
	);
	const counts: Record<string, number> = {};
	for (let index = 0; index < 4000; index++) {
		const picked = pickHost(
			candidates,
			records,
			() => uniformFloat64(generator),
			{dataCentre: 'abdali', now},
		);
		counts[picked!.host] = (counts[picked!.host] ?? 0) + 1 / 4000;
	}

	return counts;
}

const ejected = {ejectedUntil: now + 1000};
const full = {ownInFlight: 6};
const underreporting = {'abdali-1': {reportedShare: 0}};

const cases: ReadonlyArray<
	readonly [string, Parameters<typeof sharePicks>[0], string, number, number]
> = [
	['a host of the own data centre', {}, 'abdali-1', 0.25, 0.4],
	['a host of another data centre', {}, 'marka-1', 0, 0],
	['an ejected host', {'abdali-1': ejected}, 'abdali-1', 0, 0],
	[
		'an ejected host while too many are ejected',
		{'abdali-1': ejected, 'abdali-2': ejected, 'abdali-3': ejected},
		'abdali-1',
		0.2,
		0.4,
	],
	[
		'another data centre when the own one is full',
		{'abdali-1': full, 'abdali-2': full, 'abdali-3': full},
		'marka-1',
		0.95,
		1,
	],
	[
		'a host in slow start',
		{'abdali-1': {inUseSince: now}},
		'abdali-1',
		0,
		0.15,
	],
	['a host that reports no load', underreporting, 'abdali-1', 0.25, 0.4],
	['a busy host', {'abdali-1': {ownInFlight: 3}}, 'abdali-1', 0, 0.15],
	[
		'a busy host that always reports no load',
		{'abdali-1': {reportedShare: 0, ownInFlight: 2}},
		'abdali-1',
		0,
		0.25,
	],
	[
		'a host whose load is not known',
		{'abdali-1': {reportedAt: 0, reportedShare: 0}},
		'abdali-1',
		0.2,
		0.45,
	],
];

for (const [name, changes, host, least, most] of cases) {
	test(`pick: the share of ${name}`, () => {
		const share = sharePicks(changes)[host] ?? 0;
		assert.ok(share >= least && share <= most, String(share));
	});
}

test('a failing host is ejected and returns with slow start', () => {
	const context = {now, random: 0.5, serviceLatencyMs: 1};
	let record: HostRecord = idle;
	for (let index = 0; index < 20 && record.ejectedUntil <= now; index++) {
		record = stepHostRecord(
			record,
			{kind: 'ended', outcome: 'failed', latencyMs: 1, load: undefined},
			context,
		);
	}

	assert.ok(record.ejectedUntil > now);
	assert.equal(record.inUseSince, record.ejectedUntil);
	assert.equal(record.samples, 0);
});

test('silent hosts get no requests while another host is reachable', () => {
	const silent = {ownInFlight: 1, silentSince: now - 700};
	const shares = sharePicks({
		'abdali-1': silent,
		'abdali-2': silent,
		'marka-1': silent,
	});
	assert.deepEqual(Object.keys(shares), ['abdali-3']);
});

test('hosts that could not be connected to get no requests, even if they are the majority', () => {
	const left = {unreachable: 2, ejectedUntil: now + 500};
	const shares = sharePicks({
		'abdali-1': left,
		'abdali-2': left,
		'abdali-3': left,
	});
	assert.deepEqual(Object.keys(shares), ['marka-1']);
});

test('an unreachable host is detected 600 ms after its last keepalive', () => {
	const start = {now: 0, random: 0.5, serviceLatencyMs: 0};
	const sent: HostMessage = {kind: 'sent', isRemote: true};
	let record = stepHostRecord(undefined, sent, start);
	record = stepHostRecord(record, {kind: 'keepalive'}, {...start, now: 400});
	assert.ok(!isUnreachable(record, 1000));
	assert.ok(isUnreachable(record, 1001));
	record = stepHostRecord(
		record,
		{
			kind: 'ended',
			outcome: 'unreachable',
			isFromHost: false,
			latencyMs: 1100,
			load: undefined,
		},
		{...start, now: 1100},
	);
	assert.ok(isUnreachable(record, 1200));
	assert.ok(!isUnreachable(record, 1500));
});

test('the own host is never unreachable', () => {
	const start = {now: 0, random: 0.5, serviceLatencyMs: 0};
	const record = stepHostRecord(undefined, {kind: 'sent'}, start);
	assert.ok(!isUnreachable(record, 10_000));
});

/** Counts how many of 1000 uploads from a node each host gets. */
function shareUploads(linkMbps: number, own: string) {
	const generator = xoroshiro128plus(7);
	const hosts = candidates.map((candidate) => ({
		...candidate,
		linkMbps: candidate.host === 'abdali-1' ? 6 : 1000,
	}));
	const record = {...idle, serviceMs: 100, routeMs: new Map([['photos', 100]])};
	const records = new Map(hosts.map(({host}) => [host, record]));
	const counts: Record<string, number> = {};
	for (let index = 0; index < 1000; index++) {
		const {host} = pickHost(hosts, records, () => uniformFloat64(generator), {
			dataCentre: 'abdali',
			now,
			objectiveMs: 500,
			route: 'photos',
			transfer: {bytes: 360_000, host: own, linkMbps},
		})!;
		counts[host] = (counts[host] ?? 0) + 1;
	}

	return counts;
}

// An upload of 360 KB to a host with a 6 Mbit/s link uses up its whole objective.
test('uploads avoid a low-bandwidth link while other hosts answer in time', () => {
	const shares = shareUploads(1000, 'elsewhere');
	assert.equal(shares['abdali-1'], undefined);
	assert.ok(shares['abdali-2']! > 300 && shares['abdali-3']! > 300);
});

test('uploads stay on a host whose own link has low bandwidth', () => {
	assert.deepEqual(shareUploads(6, 'abdali-1'), {'abdali-1': 1000});
});

test('a request stays on the own host unless another host is clearly better', () => {
	const generator = xoroshiro128plus(11);
	const countOwn = (changes: Partial<HostRecord>): number => {
		const records = new Map(
			candidates.map(({host}) => [
				host,
				{...idle, ...(host === 'abdali-1' && changes)},
			]),
		);
		let own = 0;
		for (let index = 0; index < 1000; index++) {
			const picked = pickHost(
				candidates,
				records,
				() => uniformFloat64(generator),
				{dataCentre: 'abdali', now, objectiveMs: 200, ownHost: 'abdali-1'},
			);
			own += picked?.host === 'abdali-1' ? 1 : 0;
		}

		return own;
	};

	assert.ok(countOwn({}) > 900, 'equally loaded');
	assert.ok(countOwn({ownInFlight: 5}) < 100, 'own host busier');
});
