import assert from 'node:assert/strict';
import test from 'node:test';
import {
	createMembersFleet,
	fleetEpochMs,
	type FleetNode,
} from '../harness/create-members-fleet.js';
import {createScheduler} from '../harness/create-scheduler.js';
import {computeMembersView} from '../src/coordination/compute-members-view.js';
import {maxIncarnationAheadMs} from '../src/protocol/constants.js';
import {
	encodedExchangeSchema,
	type Announcement,
	type MemberRecord,
	type Sender,
} from '../src/protocol/member.js';
import {decodeExchange} from '../src/state/decode-exchange.js';

const seed = 40;
const nodesPerDataCentre = 4;
const startMs = 20_000;
const settleMs = 90_000;
const changeMs = 10_000;
/** Highest counter that is a safe integer. */
const maxCounter = 9_007_199_254_740_991;
const service = 'kitchens/pricebook';

const announcement: Announcement = {
	team: 'kitchens',
	service: 'pricebook',
	address: '127.0.0.1:9000',
	slots: 6,
	connections: 110,
	state: 'ready',
};

type Fleet = ReturnType<typeof startFleet>;

/** Starts two data centres; all nodes have an upstream. */
function startFleet() {
	const scheduler = createScheduler(seed);
	const unreadable: string[] = [];
	const fleet = createMembersFleet(scheduler, {
		onSend(from, request) {
			const text = JSON.stringify(request);
			const parsed = encodedExchangeSchema.safeParse(JSON.parse(text));
			const parts = parsed.success
				? decodeExchange(parsed.data).unreadable
				: [{place: request.kind, reason: 'refused'}];
			for (const {place, reason} of parts) {
				unreadable.push(`${from.name}: ${place} ${reason}`);
			}
		},
	});
	const nodes: FleetNode[] = [];
	for (const dataCentre of ['abdali', 'marka']) {
		for (let number = 1; number <= nodesPerDataCentre; number++) {
			const seeds = nodes.slice(0, 1).map(({address}) => address);
			const node = fleet.start(`${dataCentre}-${number}`, dataCentre, seeds);
			fleet.announce(node, `u-${node.name}`, announcement);
			nodes.push(node);
		}
	}

	scheduler.runUntil(startMs);
	return {scheduler, fleet, nodes, unreadable};
}

function listViews({nodes}: Fleet): readonly string[] {
	return nodes.flatMap((node) => {
		const {members, candidates} = computeMembersView(node.state);
		const live = members.filter(({state}) => state === 'alive');
		const names = live
			.map(({name, address, dataCentre}) => `${name} ${address} ${dataCentre}`)
			.toSorted();
		const offered = (candidates.get(service) ?? [])
			.map(({host, slots}) => `${host} ${slots}`)
			.toSorted();
		return [`${node.state.role}: ${names.join(', ')}: ${offered.join(', ')}`];
	});
}

/** Lists what is wrong in the views of a fleet that should be whole; the upstream of its first node has the given slots. */
function listProblems(fleet: Fleet, firstSlots = 6): readonly string[] {
	const names = fleet.nodes
		.map(({name, address, dataCentre}) => `${name} ${address} ${dataCentre}`)
		.toSorted();
	const offered = fleet.nodes
		.map(({name}, index) => `${name} ${index === 0 ? firstSlots : 6}`)
		.toSorted();
	const expected = `member: ${names.join(', ')}: ${offered.join(', ')}`;
	return [
		...new Set(fleet.unreadable),
		...listViews(fleet).filter((view) => view !== expected),
	];
}

function createSender(changes: Partial<Sender> = {}): Sender {
	return {
		name: 'writer',
		dataCentre: 'abdali',
		address: '10.9.9.9:9',
		incarnation: fleetEpochMs,
		sequence: 0,
		startedMs: fleetEpochMs,
		...changes,
	};
}

type OddMessage = {
	readonly text: string;
	/** Index of the node that gets it. */
	readonly receiver?: number;
	readonly from?: Partial<Sender>;
	/** Changes to the record of the first node, as it is. */
	readonly records: ReadonlyArray<Partial<MemberRecord>>;
};

const other = {address: '10.9.9.9:9'};
const messages: readonly OddMessage[] = [
	...[0, 1, 5].flatMap((receiver) =>
		(['alive', 'suspect', 'dead', 'left'] as const).flatMap((state) =>
			[
				{text: 'the own incarnation', change: {}},
				{text: 'the highest sequence', change: {sequence: maxCounter}},
				{text: 'the highest incarnation', change: {incarnation: maxCounter}},
				{
					text: 'an incarnation of ten years ahead',
					change: {incarnation: fleetEpochMs + 315_360_000_000},
				},
				{
					text: 'the highest incarnation that is taken',
					change: {incarnation: fleetEpochMs + startMs + maxIncarnationAheadMs},
				},
			].flatMap(({text, change}) => [
				{
					text: `node ${receiver} is told that the first is ${state}, with ${text}`,
					receiver,
					records: [{state, ...change}],
				},
				{
					text: `node ${receiver} is told that the first is ${state} at another address, with ${text}`,
					receiver,
					records: [{state, ...other, ...change}],
				},
			]),
		),
	),
	...[0, fleetEpochMs + startMs].map((startedMs) => ({
		text: `a writer has the first node's name, started at ${startedMs} and has the highest incarnation`,
		receiver: 0,
		from: {name: 'abdali-1', startedMs, incarnation: maxCounter},
		records: [],
	})),
	{
		text: 'the first node is said to be in the other data centre',
		receiver: 5,
		records: [{dataCentre: 'marka', sequence: 1000}],
	},
	{
		text: 'there are two records of the first node',
		receiver: 1,
		records: [{state: 'dead'}, {sequence: 1000, upstreams: []}],
	},
	{
		text: 'the first node is said to have the address of the receiver',
		receiver: 1,
		records: [{address: '10.0.2.1:8081', sequence: 1000}],
	},
	{
		text: 'the first node is said to have the address of the third',
		receiver: 1,
		records: [{address: '10.0.3.1:8081', sequence: 1000}],
	},
	{
		text: 'the upstream of the first node has the highest age',
		receiver: 1,
		records: [
			{
				sequence: 1000,
				upstreams: [
					{id: 'u', service, slots: 6, state: 'ready', ageMs: maxCounter},
				],
			},
		],
	},
	{
		text: 'an unknown member has the highest age and sequence',
		receiver: 1,
		records: [
			{
				name: 'ghost',
				...other,
				sequence: maxCounter,
				upstreams: [
					{id: 'u', service, slots: 6, state: 'ready', ageMs: maxCounter},
				],
			},
		],
	},
];

for (const {text, receiver = 0, from, records} of messages) {
	test(`a fleet agrees again after one odd message: ${text}`, () => {
		const fleet = startFleet();
		assert.deepEqual(listProblems(fleet), []);
		const [first] = fleet.nodes;
		const {name, dataCentre, address, incarnation, sequence, state} =
			first!.state.self;
		const own = {name, dataCentre, address, incarnation, sequence, state};
		fleet.fleet.tell(fleet.nodes[receiver]!, {
			kind: 'request',
			request: {
				kind: 'ping',
				from: createSender(from),
				records: records.map((record) => ({...own, upstreams: [], ...record})),
			},
		});
		fleet.scheduler.runUntil(startMs + settleMs);
		assert.deepEqual(listProblems(fleet), []);
		// A later change of the first node is taken.
		fleet.fleet.announce(first!, `u-${name}`, {...announcement, slots: 5});
		fleet.scheduler.runUntil(startMs + settleMs + changeMs);
		assert.deepEqual(listProblems(fleet, 5), []);
	});
}
