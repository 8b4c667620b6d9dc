import assert from 'node:assert/strict';
import test from 'node:test';
import type {Member} from '../protocol/member.js';
import type {RoutingDocument} from '../protocol/routing-document.js';
import {createDocumentState} from './create-document-state.js';
import type {
	DocumentEffect,
	DocumentMessage,
	DocumentState,
} from './document-state.js';
import {stepDocument} from './step-document.js';

function createDocument(version: number): RoutingDocument {
	return {version, routes: [], services: {}};
}

function createMember(name: string, dataCentre = 'abdali'): Member {
	return {
		name,
		dataCentre,
		address: `10.0.0.1:${name.length}${name.codePointAt(0)}`,
		incarnation: 1,
		sequence: 1,
		state: 'alive',
		upstreams: [],
	};
}

/** Creates a document state machine that keeps the effects of its last step. */
function createMachine(name = 'a') {
	let state: DocumentState = createDocumentState(name);
	let effects: readonly DocumentEffect[] = [];
	return {
		send(message: DocumentMessage, now: number) {
			const step = stepDocument(state, message, now);
			state = step.state;
			effects = step.effects;
			return effects;
		},
		find<Kind extends DocumentEffect['kind']>(kind: Kind) {
			return effects.find(
				(effect): effect is DocumentEffect & {readonly kind: Kind} =>
					effect.kind === kind,
			);
		},
		read: () => state,
	};
}

test('a node reads the store, runs the document and starts a watch', () => {
	const machine = createMachine();
	machine.send({kind: 'tick'}, 0);
	const {callId} = machine.find('read')!;
	machine.send(
		{
			kind: 'stored',
			callId,
			outcome: {kind: 'read', document: createDocument(3), revision: 9},
		},
		5,
	);
	assert.equal(machine.find('run')?.document.version, 3);
	assert.equal(machine.find('watch')?.revision, 9);
});

test('unreadable parts are logged once and up to a limit', () => {
	const machine = createMachine();
	const problems = Array.from({length: 20}, (_, index) => ({
		kind: 'route-refused' as const,
		name: `r-${index}`,
		reason: 'no service',
	}));
	const logs: string[] = [];
	for (const [now, version] of [3, 4].entries()) {
		machine.send({kind: 'tick'}, now * 10);
		const document = {...createDocument(version), problems};
		const callId = machine.read().storeLoop.call!.id;
		const outcome = {kind: 'read', document, revision: 9 + now} as const;
		const effects = machine.send(
			{kind: 'stored', callId, outcome},
			now * 10 + 5,
		);
		for (const effect of effects) {
			if (effect.kind === 'log' && effect.level === 'warn') {
				logs.push(`${version} ${JSON.stringify(effect.fields)}`);
			}
		}
	}

	assert.equal(logs.length, 16);
	assert.equal(
		logs[0],
		'3 {"version":3,"effect":"route-refused","name":"r-0","reason":"no service","omitted":4}',
	);
});

test('an older document does not replace the running one', () => {
	const machine = createMachine();
	for (const [now, version] of [7, 5, 7].entries()) {
		machine.send({kind: 'tick'}, now * 10);
		const call = machine.read().storeLoop.call!;
		machine.send(
			{
				kind: 'stored',
				callId: call.id,
				outcome: {
					kind: 'read',
					document: createDocument(version),
					revision: 9,
				},
			},
			now * 10 + 1,
		);
	}

	assert.equal(machine.read().document?.version, 7);
});

test('the document is read again if the store has compacted the history', () => {
	const machine = createMachine();
	machine.send({kind: 'tick'}, 0);
	const first = machine.find('read')!;
	machine.send(
		{
			kind: 'stored',
			callId: first.callId,
			outcome: {kind: 'read', document: createDocument(1), revision: 4},
		},
		1,
	);
	const watch = machine.find('watch')!;
	machine.send(
		{kind: 'stored', callId: watch.callId, outcome: {kind: 'compacted'}},
		2,
	);
	assert.ok(machine.find('read'));
});

test('a document without a revision to watch from is run, and read again less and less often', () => {
	const machine = createMachine();
	const readAt: number[] = [];
	for (let now = 0; now < 10_000; now += 10) {
		const effects = machine.send({kind: 'tick'}, now);
		const read = effects.find(({kind}) => kind === 'read');
		if (read?.kind === 'read') {
			readAt.push(now);
			const outcome = {
				kind: 'read',
				document: createDocument(readAt.length),
				revision: undefined,
			} as const;
			machine.send({kind: 'stored', callId: read.callId, outcome}, now);
		}
	}

	assert.equal(machine.read().document?.version, readAt.length);
	assert.ok(readAt.length <= 15, `read at ${readAt.join(', ')}`);
	assert.ok(readAt.length >= 10, `read at ${readAt.join(', ')}`);
});

/** Creates a state machine that watches from revision 4 and runs version 2. */
function createWatchingMachine(era: number | undefined) {
	const machine = createMachine();
	machine.send({kind: 'tick'}, 0);
	const outcome = {
		kind: 'read',
		document: createDocument(2),
		revision: 4,
		era,
	} as const;
	const {callId} = machine.find('read')!;
	machine.send({kind: 'stored', callId, outcome}, 1);
	return machine;
}

test('a watch that does not answer times out and is restarted', () => {
	const machine = createWatchingMachine(1);
	const {timeoutMs} = machine.find('watch')!;
	machine.send({kind: 'tick'}, timeoutMs + 2);
	machine.send({kind: 'tick'}, timeoutMs + 500);
	const check = machine.find('check')!;
	machine.send(
		{
			kind: 'stored',
			callId: check.callId,
			outcome: {kind: 'revision', revision: 4, era: 1},
		},
		timeoutMs + 501,
	);
	assert.equal(machine.find('watch')?.revision, 4);
});

test('a revision of a store without an era is not watched from after a failure', () => {
	const machine = createWatchingMachine(undefined);
	const {callId} = machine.find('watch')!;
	machine.send({kind: 'stored', callId, outcome: {kind: 'failed'}}, 100);
	machine.send({kind: 'tick'}, 300);
	const again = machine.find('read');
	assert.ok(again, 'the document is not read again');
	const outcome = {
		kind: 'read',
		document: createDocument(3),
		revision: 4,
	} as const;
	machine.send({kind: 'stored', callId: again.callId, outcome}, 301);
	assert.equal(machine.read().document?.version, 3);
	assert.equal(machine.find('watch')?.revision, 4);
});

test('a watch that is answered with a lower revision is followed by a read', () => {
	for (const era of [undefined, 1]) {
		const machine = createWatchingMachine(era);
		const {callId} = machine.find('watch')!;
		const outcome = {
			kind: 'read',
			document: undefined,
			revision: 3,
			era,
		} as const;
		machine.send({kind: 'stored', callId, outcome}, 100);
		assert.ok(machine.find('store-restored'));
		assert.ok(machine.find('read'), 'the document is not read again');
	}
});

test('a revision that is given out again in another era is not watched from', () => {
	const machine = createWatchingMachine(1);
	const {callId, timeoutMs} = machine.find('watch')!;
	machine.send({kind: 'stored', callId, outcome: {kind: 'failed'}}, 100);
	machine.send({kind: 'tick'}, 300);
	const check = machine.find('check')!;
	assert.ok(check.timeoutMs < timeoutMs);
	machine.send(
		{
			kind: 'stored',
			callId: check.callId,
			outcome: {kind: 'revision', revision: 4, era: 2},
		},
		301,
	);
	assert.ok(machine.find('store-restored'));
	assert.ok(machine.find('read'), 'the document is not read again');
});

test('a watch that is answered in another era is followed by a read', () => {
	const machine = createWatchingMachine(1);
	const {callId} = machine.find('watch')!;
	machine.send(
		{
			kind: 'stored',
			callId,
			outcome: {kind: 'read', document: undefined, revision: 4, era: 2},
		},
		100,
	);
	assert.ok(machine.find('read'), 'the document is not read again');
});

test('a lower version that a store from a copy holds is not run', () => {
	const machine = createWatchingMachine(1);
	const {callId} = machine.find('watch')!;
	machine.send({kind: 'stored', callId, outcome: {kind: 'compacted'}}, 100);
	machine.send(
		{
			kind: 'stored',
			callId: machine.find('read')!.callId,
			outcome: {
				kind: 'read',
				document: createDocument(1),
				revision: 2,
				era: 2,
			},
		},
		101,
	);
	assert.equal(machine.read().document?.version, 2);
	assert.ok(machine.find('store-restored'));
	assert.equal(machine.find('watch')?.revision, 2);
});

/** Creates the state machine of a child in a data centre of four known nodes. */
function createChild() {
	const members = ['a', 'b', 'c', 'd'].map((name) => createMember(name));
	for (const {name} of members) {
		const machine = createMachine(name);
		machine.send({kind: 'view', members}, 0);
		if (!machine.read().isRoot) {
			return machine;
		}
	}

	throw new Error('no child among four nodes');
}

test('a child long-polls a parent and does not call the store', () => {
	const machine = createChild();
	const poll = machine.find('poll')!;
	machine.send(
		{
			kind: 'polled',
			callId: poll.callId,
			outcome: {
				kind: 'answered',
				answer: {kind: 'whole', ageMs: 10, document: createDocument(2)},
			},
		},
		5,
	);
	assert.equal(machine.find('run')?.document.version, 2);
	assert.equal(machine.find('poll')?.poll.version, 2);
	const late = machine.read().storeLoop.call?.endsAt ?? 0;
	machine.send({kind: 'tick'}, Math.max(400, late + 1));
	assert.equal(machine.find('read'), undefined);
});

test('a child whose parents do not answer polls others, then reads the store', () => {
	const machine = createChild();
	const polledAddresses = new Set<string>();
	let hasRead = false;
	for (let now = 0; now < 3000; now += 100) {
		for (const effect of machine.send({kind: 'tick'}, now)) {
			if (effect.kind === 'poll') {
				polledAddresses.add(effect.address);
			}

			hasRead ||= effect.kind === 'read' && now < 2000;
		}
	}

	assert.ok(polledAddresses.size >= 2);
	assert.ok(hasRead);
});

test('after a stale answer the next peer is polled', () => {
	const machine = createChild();
	const {callId} = machine.find('poll')!;
	machine.send(
		{
			kind: 'polled',
			callId,
			outcome: {kind: 'answered', answer: {kind: 'unchanged', ageMs: 9000}},
		},
		10,
	);
	assert.equal(machine.read().peerIndex, 1);
});

// A node that was paused would otherwise take its document for the newest, and refuse new API keys.
test('an answer that is read late confirms the document as of the end of its call', () => {
	const machine = createChild();
	const {callId} = machine.find('poll')!;
	const {endsAt} = machine.read().peerLoop.call!;
	const answer = {kind: 'unchanged', ageMs: 100} as const;
	machine.send(
		{kind: 'polled', callId, outcome: {kind: 'answered', answer}},
		endsAt + 9000,
	);
	assert.equal(machine.read().confirmedAt, endsAt - 100);

	const root = createMachine();
	root.send({kind: 'tick'}, 0);
	const read = root.find('read')!;
	const document = createDocument(3);
	const outcome = {
		kind: 'read',
		document,
		revision: 9,
		transferMs: 50,
	} as const;
	root.send({kind: 'stored', callId: read.callId, outcome}, 9000);
	assert.equal(root.read().confirmedAt, read.timeoutMs - 50);
});

test('waiting polls are answered when a newer document arrives or their wait ends', () => {
	const machine = createMachine();
	const poll = {name: 'b', version: -1, waitMs: 800};
	machine.send({kind: 'poll', pollId: 1, poll}, 0);
	const {callId} = machine.find('read')!;
	machine.send(
		{
			kind: 'stored',
			callId,
			outcome: {kind: 'read', document: createDocument(1), revision: 4},
		},
		20,
	);
	assert.deepEqual(machine.find('answer')?.answer, {
		kind: 'whole',
		ageMs: 0,
		document: createDocument(1),
	});
	machine.send({kind: 'poll', pollId: 2, poll: {...poll, version: 1}}, 30);
	assert.equal(machine.find('answer'), undefined);
	machine.send({kind: 'tick'}, 900);
	assert.equal(machine.find('answer')?.pollId, 2);
	assert.equal(machine.find('answer')?.answer.kind, 'unchanged');
});

/**
 * Creates the state machine of a root that runs version 1 and watches from
 * revision 4.
 */
function createWatchingRoot() {
	const machine = createMachine();
	machine.send({kind: 'tick'}, 0);
	machine.send(
		{
			kind: 'stored',
			callId: machine.find('read')!.callId,
			outcome: {kind: 'read', document: createDocument(1), revision: 4},
		},
		1,
	);
	return machine;
}

test('a node whose version is known gets changes, others get the full document', () => {
	const machine = createWatchingRoot();
	machine.send(
		{
			kind: 'stored',
			callId: machine.find('watch')!.callId,
			outcome: {kind: 'read', document: createDocument(2), revision: 5},
		},
		10,
	);
	for (const [pollId, version, kind] of [
		[1, 1, 'changes'],
		[2, 0, 'whole'],
		[3, -1, 'whole'],
	] as const) {
		const poll = {name: 'b', version, waitMs: 800};
		machine.send({kind: 'poll', pollId, poll}, 20);
		assert.equal(machine.find('answer')?.answer.kind, kind);
	}
});

test('changes that cannot be applied are ignored, and another peer is polled for the full document', () => {
	const machine = createChild();
	const first = machine.find('poll')!;
	const fullAnswer = {
		kind: 'whole',
		ageMs: 0,
		document: createDocument(2),
	} as const;
	machine.send(
		{
			kind: 'polled',
			callId: first.callId,
			outcome: {kind: 'answered', answer: fullAnswer},
		},
		5,
	);
	const changes = {from: 2, to: 3, removed: ['x'], put: [], services: {}};
	machine.send(
		{
			kind: 'polled',
			callId: machine.find('poll')!.callId,
			outcome: {kind: 'answered', answer: {kind: 'changes', ageMs: 0, changes}},
		},
		10,
	);
	assert.equal(machine.read().document?.version, 2);
	assert.equal(machine.find('log')?.level, 'warn');
	const next = machine.find('poll')!;
	assert.equal(next.poll.version, -1);
	assert.notEqual(next.address, first.address);
});

test('after a slow transfer only the newest copy is read, not every copy since', () => {
	const machine = createWatchingRoot();
	machine.send(
		{
			kind: 'stored',
			callId: machine.find('watch')!.callId,
			outcome: {
				kind: 'read',
				document: createDocument(2),
				revision: 5,
				transferMs: 900,
			},
		},
		1000,
	);
	machine.send(
		{
			kind: 'stored',
			callId: machine.find('check')!.callId,
			outcome: {kind: 'revision', revision: 9},
		},
		1010,
	);
	machine.send(
		{
			kind: 'stored',
			callId: machine.find('read')!.callId,
			outcome: {
				kind: 'read',
				document: createDocument(6),
				revision: 9,
				transferMs: 900,
			},
		},
		2000,
	);
	machine.send(
		{
			kind: 'stored',
			callId: machine.find('check')!.callId,
			outcome: {kind: 'revision', revision: 9},
		},
		2010,
	);
	assert.equal(machine.find('watch')?.revision, 9);
});

test('a call whose answer is still arriving does not time out', () => {
	const machine = createMachine();
	machine.send({kind: 'tick'}, 0);
	const {callId, timeoutMs} = machine.find('read')!;
	machine.send({kind: 'receiving', callId}, 10);
	machine.send({kind: 'tick'}, timeoutMs + 500);
	assert.equal(machine.read().storeLoop.call?.id, callId);
});

test('a child does not call the store after one slow answer of its parent', () => {
	const machine = createChild();
	const {timeoutMs} = machine.find('poll')!;
	machine.send({kind: 'tick'}, timeoutMs + 1);
	assert.equal(machine.find('poll')?.poll.waitMs, 0);
	assert.equal(machine.read().storeLoop.call, undefined);
});

test('a child that falls back to the store after a long time checks the revision first, to read only the newest copy', () => {
	const {name, peers} = createChild().read();
	const machine = createMachine(name);
	machine.send({kind: 'tick'}, 0);
	const members = [name, ...peers.map((peer) => peer.name)].map((each) =>
		createMember(each),
	);
	machine.send({kind: 'view', members}, 5);
	const document = createDocument(1);
	machine.send(
		{
			kind: 'stored',
			callId: machine.read().storeLoop.call!.id,
			outcome: {kind: 'read', document, revision: 4},
		},
		10,
	);
	const changes = {from: 1, to: 2, removed: [], put: [], services: {}};
	machine.send(
		{
			kind: 'polled',
			callId: machine.read().peerLoop.call!.id,
			outcome: {kind: 'answered', answer: {kind: 'changes', ageMs: 0, changes}},
		},
		20,
	);
	assert.equal(machine.read().document?.version, 2);
	const calls = new Set(['check', 'read', 'watch']);
	const called: string[] = [];
	for (let now = 100; now < 3000; now += 100) {
		const kinds = machine.send({kind: 'tick'}, now).map(({kind}) => kind);
		called.push(...kinds.filter((kind) => calls.has(kind)));
	}

	assert.equal(called[0], 'check');
});

test('a copy that a busy node processes late counts as a slow transfer', () => {
	const machine = createWatchingRoot();
	machine.send(
		{
			kind: 'stored',
			callId: machine.find('watch')!.callId,
			outcome: {
				kind: 'read',
				document: createDocument(2),
				revision: 5,
				arrivedAt: 700,
				transferMs: 20,
			},
		},
		1000,
	);
	assert.ok(machine.find('check'));
});

test('a child returns to its parent after one failed poll', () => {
	const machine = createChild();
	const parent = machine.find('poll')!.address;
	machine.send({kind: 'tick'}, 1201);
	assert.notEqual(machine.find('poll')?.address, parent);
	const polledAddresses: string[] = [];
	for (let now = 2000; now < 10_000; now += 800) {
		const {id: callId} = machine.read().peerLoop.call!;
		const outcome = {
			kind: 'answered',
			answer: {kind: 'unchanged', ageMs: 0},
		} as const;
		machine.send({kind: 'polled', callId, outcome}, now);
		polledAddresses.push(machine.find('poll')!.address);
	}

	assert.notEqual(polledAddresses[0], parent);
	assert.equal(polledAddresses.at(-1), parent);
});

test('a root whose store calls fail polls a root of another data centre', () => {
	const members = [
		createMember('a'),
		createMember('b'),
		createMember('m', 'marka'),
	];
	const machine = createMachine('a');
	machine.send({kind: 'view', members}, 0);
	const failed = {kind: 'failed'} as const;
	const {id} = machine.read().storeLoop.call!;
	machine.send({kind: 'stored', callId: id, outcome: failed}, 5);
	const polledAddresses = new Set<string>();
	for (let now = 800; now <= 1600; now += 800) {
		const {id: callId} = machine.read().peerLoop.call!;
		const outcome = {
			kind: 'answered',
			answer: {kind: 'unchanged', ageMs: 100},
		} as const;
		machine.send({kind: 'polled', callId, outcome}, now);
		polledAddresses.add(machine.find('poll')!.address);
	}

	assert.ok(polledAddresses.has(members[2]!.address));
});

// Regression: each successful call to a store whose revision cannot be read reset the delay, and each failed watch was logged.
test('a store whose revision can no longer be read is called less and less often, and logged once', () => {
	for (const era of [undefined, 1]) {
		const machine = createWatchingMachine(era);
		const {callId: watchId} = machine.find('watch')!;
		const calls: string[] = [];
		const lines: string[] = [];
		let due = machine.send(
			{kind: 'stored', callId: watchId, outcome: {kind: 'failed'}},
			100,
		);
		for (let now = 100; now < 10_000; now += 10) {
			for (const effect of [...due, ...machine.send({kind: 'tick'}, now)]) {
				if (effect.kind === 'log' && effect.level === 'warn') {
					lines.push(effect.message);
				}

				if (effect.kind !== 'read' && effect.kind !== 'check') {
					continue;
				}

				calls.push(`${effect.kind} ${now}`);
				const {callId} = effect;
				const document = createDocument(2 + calls.length);
				const outcome =
					effect.kind === 'read'
						? ({kind: 'read', document, revision: undefined, era} as const)
						: ({kind: 'revision', revision: undefined, era} as const);
				machine.send({kind: 'stored', callId, outcome}, now);
			}

			due = [];
		}

		assert.deepEqual(lines, ['store does not answer']);
		assert.ok(calls.length <= 15, calls.join(', '));
		assert.ok(calls.length >= 10, calls.join(', '));
		assert.equal(machine.read().document?.version, 2 + calls.length);
	}
});
