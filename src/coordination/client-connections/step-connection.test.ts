import assert from 'node:assert/strict';
import test from 'node:test';
import * as fc from 'fast-check';
import type {
	ConnectionAction,
	ConnectionMessage,
	ConnectionState,
	PendingRequest,
} from './connection-state.js';
import {stepConnection} from './step-connection.js';

/** What happens on the connection of the model; `index` selects one of its open responses. */
type ModelEvent =
	| {readonly kind: 'request'; readonly allowsPipelining: boolean}
	| {
			readonly kind: 'head';
			readonly index: number;
			readonly wantsClose: boolean;
	  }
	| {readonly kind: 'unreadable'};

const eventArbitrary: fc.Arbitrary<ModelEvent> = fc.oneof(
	{
		weight: 4,
		arbitrary: fc.record({
			kind: fc.constant('request' as const),
			allowsPipelining: fc.nat(9).map((number) => number > 0),
		}),
	},
	{
		weight: 4,
		arbitrary: fc.record({
			kind: fc.constant('head' as const),
			index: fc.nat(),
			wantsClose: fc.boolean(),
		}),
	},
	{weight: 1, arbitrary: fc.constant({kind: 'unreadable' as const})},
);

/** Runs a connection that writes each response once its head and those before it are there; returns what its client sees. */
function runModel(events: readonly ModelEvent[]) {
	let state: ConnectionState<PendingRequest> = {intake: 'open', pending: []};
	const handled: PendingRequest[] = [];
	const written: PendingRequest[] = [];
	const heads = new Map<PendingRequest, ConnectionAction>();
	let isClosed = false;

	function step(message: ConnectionMessage<PendingRequest>): ConnectionAction {
		const result = stepConnection(state, message);
		state = result.state;
		isClosed ||= result.action === 'close' || result.action === 'reject';
		return result.action;
	}

	function writeReady(): void {
		for (const request of handled) {
			if (isClosed || !heads.has(request)) {
				return;
			}

			if (!written.includes(request)) {
				written.push(request);
				step({kind: 'written', request});
				// Node.js closes the socket after such a response.
				isClosed ||= heads.get(request) === 'close-after';
			}
		}
	}

	function writeHead(request: PendingRequest, wantsClose: boolean): void {
		heads.set(request, step({kind: 'head', request, wantsClose}));
		writeReady();
	}

	for (const event of events) {
		if (isClosed) {
			break;
		}

		const open = handled.filter((request) => !heads.has(request));
		switch (event.kind) {
			case 'request': {
				const {allowsPipelining} = event;
				const request = {allowsPipelining};
				if (step({kind: 'request', request}) === 'handle') {
					handled.push(request);
				}

				break;
			}

			case 'head': {
				const request = open[event.index % Math.max(1, open.length)];
				if (request) {
					writeHead(request, event.wantsClose);
				}

				break;
			}

			case 'unreadable': {
				step({kind: 'unreadable', isLastPartial: false});
				break;
			}
		}
	}

	for (const request of handled.filter((candidate) => !heads.has(candidate))) {
		writeHead(request, false);
	}

	return {state, handled, written, heads, isClosed};
}

test('every handled request is answered in order before its connection is closed', () => {
	fc.assert(
		fc.property(fc.array(eventArbitrary, {maxLength: 24}), (events) => {
			const {state, handled, written, heads, isClosed} = runModel(events);
			assert.deepEqual(written, handled);
			assert.equal(isClosed, state.intake === 'ended');
			const closing = handled.filter(
				(request) => heads.get(request) === 'close-after',
			);
			assert.ok(closing.length === 0 || closing[0] === handled.at(-1));
		}),
		{seed: 61, numRuns: 2000},
	);
});

test('a request that is only partly received is not waited for', () => {
	const first = {allowsPipelining: true};
	const partial = {allowsPipelining: true};
	const message = {kind: 'unreadable', isLastPartial: true} as const;
	const owing = stepConnection(
		{intake: 'open', pending: [first, partial]},
		message,
	);
	assert.deepEqual(owing.state.pending, [first]);
	assert.equal(owing.action, 'continue');
	const only = stepConnection({intake: 'open', pending: [partial]}, message);
	assert.equal(only.action, 'reject');
});
