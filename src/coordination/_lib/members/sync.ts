/**
 * Anti-entropy: compares digests first, then the buckets that differ.
 */
import {
	maxBucketAnswersPerSecond,
	maxBucketsPerSync,
	maxRecordsPerBucket,
} from '../../../protocol/constants.js';
import type {
	Exchange,
	ExchangeAnswer,
	Member,
	RecordVersion,
} from '../../../protocol/member.js';
import {encodeMember} from '../../../state/encode-member.js';
import {
	bucketsPerDataCentre,
	type MemberTable,
} from '../../../state/member-table.js';
import {mergeMember} from '../../../state/merge-member.js';
import {putMembers} from '../../../state/put-members.js';
import type {MembersState, MembersStep} from '../../members-state.js';
import {listDeparturesAt, listUntoldDepartures} from './departures.js';
import {mergeRecords} from './merge.js';
import {
	createAnswerEffect,
	describeSender,
	encodeRecords,
	isLive,
	createRequestEffect,
} from './send.js';

type DigestsRequest = Extract<Exchange, {readonly kind: 'digests'}>;
type DigestsAnswer = Extract<ExchangeAnswer, {readonly kind: 'digests'}>;
type BucketRequest = Extract<Exchange, {readonly kind: 'bucket'}>;
type BucketAnswer = Extract<ExchangeAnswer, {readonly kind: 'bucket'}>;

/**
 * Returns the table of members, with this node's record once it is a member.
 */
function createFullTable(state: MembersState): MemberTable {
	return state.role === 'member'
		? putMembers(state.table, [state.self])
		: state.table;
}

function listDigests(table: MemberTable, dataCentre: string): number[] {
	const buckets = table.get(dataCentre);
	return Array.from(
		{length: bucketsPerDataCentre},
		(_, index) => buckets?.[index]?.digest ?? 0,
	);
}

function computeRootDigest(digests: readonly number[]): number {
	return digests.reduce((sum, digest) => (sum + digest) % 2 ** 32, 0);
}

/** Starts a sync of records with the member at an address. */
export function startSync(
	state: MembersState,
	address: string,
	now: number,
): MembersStep {
	const table = createFullTable(state);
	const roots = Object.fromEntries(
		[...table.keys()].map((dataCentre) => [
			dataCentre,
			computeRootDigest(listDigests(table, dataCentre)),
		]),
	);
	const sync = {address, startedAt: now, remaining: []};
	return {
		state: {...state, sync},
		effects: [
			createRequestEffect(address, {
				kind: 'digests',
				from: describeSender(state),
				roots,
				...listDeparturesAt(state, address, now),
			}),
		],
	};
}

/**
 * Answers a sync request with the bucket digests of the data centres that
 * differ.
 */
export function answerDigests(
	state: MembersState,
	request: DigestsRequest,
	now: number,
): MembersStep {
	const table = createFullTable(state);
	const names = new Set([...table.keys(), ...Object.keys(request.roots)]);
	const buckets: Record<string, number[]> = {};
	for (const name of names) {
		const digests = listDigests(table, name);
		if (computeRootDigest(digests) !== (request.roots[name] ?? 0)) {
			buckets[name] = digests;
		}
	}

	const answer = {
		kind: 'digests' as const,
		from: describeSender(state),
		buckets,
		...listUntoldDepartures(state, request.from, now),
	};
	return {state, effects: [createAnswerEffect(answer)]};
}

function listVersions(
	table: MemberTable,
	dataCentre: string,
	bucket: number,
): RecordVersion[] {
	const members = table.get(dataCentre)?.[bucket]?.members.values() ?? [];
	return [...members]
		.slice(0, maxRecordsPerBucket)
		.map((member) => [
			member.name,
			member.incarnation,
			member.sequence,
			member.state,
		]);
}

/** Requests the next bucket that differs; ends the sync after the last one. */
export function continueSync(state: MembersState): MembersStep {
	const {sync} = state;
	const [next, ...remaining] = sync?.remaining ?? [];
	if (!sync || !next) {
		return {state: {...state, sync: undefined}, effects: []};
	}

	const [dataCentre, bucket] = next;
	const request: BucketRequest = {
		kind: 'bucket',
		from: describeSender(state),
		dataCentre,
		bucket,
		versions: listVersions(createFullTable(state), dataCentre, bucket),
	};
	return {
		state: {...state, sync: {...sync, remaining}},
		effects: [createRequestEffect(sync.address, request)],
	};
}

/**
 * Aborts a sync; the remaining buckets are covered by a new sync with another
 * member.
 */
export function abortSync(state: MembersState): MembersState {
	return state.sync
		? {...state, sync: undefined, isSyncIncomplete: true}
		: state;
}

/**
 * Handles the digests of another member and requests the buckets that differ,
 * those of the local data centre first.
 */
export function compareDigests(
	state: MembersState,
	answer: DigestsAnswer,
): MembersStep {
	const table = createFullTable(state);
	const localDataCentre = state.self.dataCentre;
	const differing = Object.entries(answer.buckets).flatMap(
		([dataCentre, theirs]) =>
			listDigests(table, dataCentre).flatMap((digest, bucket) =>
				digest === theirs[bucket] ? [] : [[dataCentre, bucket] as const],
			),
	);
	const remaining = [
		...differing.filter(([dataCentre]) => dataCentre === localDataCentre),
		...differing.filter(([dataCentre]) => dataCentre !== localDataCentre),
	].slice(0, maxBucketsPerSync);
	const sync = state.sync && {...state.sync, remaining};
	return continueSync({...state, sync});
}

function isNewer(member: Member, version: RecordVersion): boolean {
	const [name, incarnation, sequence, memberState] = version;
	const theirs = {...member, name, incarnation, sequence, state: memberState};
	return mergeMember(theirs, member) !== theirs;
}

function isOlder(member: Member, version: RecordVersion): boolean {
	const [name, incarnation, sequence, memberState] = version;
	const theirs = {...member, name, incarnation, sequence, state: memberState};
	return mergeMember(member, theirs) !== member;
}

/**
 * Answers a request for a bucket with the records that are newer here and the
 * names of those that are newer at the sender.
 */
export function answerBucket(
	state: MembersState,
	request: BucketRequest,
	now: number,
): MembersStep {
	const {rateLimits} = state;
	const from = describeSender(state);
	const isNewWindow = now - rateLimits.bucketWindowStartedAt >= 1000;
	const answered = isNewWindow ? 0 : rateLimits.bucketAnswers;
	if (answered >= maxBucketAnswersPerSecond) {
		return {state, effects: [createAnswerEffect({kind: 'busy', from})]};
	}

	const table = createFullTable(state);
	const members =
		table.get(request.dataCentre)?.[request.bucket]?.members ??
		new Map<string, Member>();
	const theirs = new Map(
		request.versions.map((version) => [version[0], version] as const),
	);
	const records = [...members.values()]
		.filter((member) => {
			const version = theirs.get(member.name);
			return version ? isNewer(member, version) : isLive(member);
		})
		.slice(0, maxRecordsPerBucket)
		.map((member) => encodeMember(member, now));
	const wanted = request.versions
		.filter((version) => {
			const member = members.get(version[0]);
			const isTheirsLive = version[3] === 'alive' || version[3] === 'suspect';
			return member ? isOlder(member, version) : isTheirsLive;
		})
		.map(([name]) => name);
	const bucketWindowStartedAt = isNewWindow
		? now
		: rateLimits.bucketWindowStartedAt;
	return {
		state: {
			...state,
			rateLimits: {
				...rateLimits,
				bucketWindowStartedAt,
				bucketAnswers: answered + 1,
			},
		},
		effects: [createAnswerEffect({kind: 'bucket', from, records, wanted})],
	};
}

/**
 * Handles the answer to a bucket request: merges its records and sends those it
 * asks for.
 */
export function handleBucketAnswer(
	state: MembersState,
	address: string,
	answer: BucketAnswer,
	now: number,
): MembersStep {
	const merged = mergeRecords(state, answer.records, now);
	const next = continueSync(merged.state);
	const wanted = encodeRecords(next.state, answer.wanted, now);
	const push =
		wanted.length > 0
			? [
					createRequestEffect(address, {
						kind: 'ping',
						from: describeSender(next.state),
						records: wanted,
					}),
				]
			: [];
	return {
		state: next.state,
		effects: [...merged.effects, ...push, ...next.effects],
	};
}
