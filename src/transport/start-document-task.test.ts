import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleMember} from '../../harness/create-sample-member.js';
import {createSampleRoute} from '../../harness/create-sample-route.js';
import {createSilentLogger} from '../../harness/create-silent-logger.js';
import {pollUntil} from '../../harness/poll-until.js';
import type {StoredDocumentOutcome} from '../coordination/document-state.js';
import type {
	DocumentRoute,
	RoutingDocument,
} from '../protocol/routing-document.js';
import {createPeerClients} from './create-peer-client.js';
import {startDocumentTask, type DocumentStore} from './start-document-task.js';
import {startGateTask} from './start-gate-task.js';
import {startPeerServer} from './start-peer-server.js';

/** Time limit for a document to arrive, ms; usually it takes a few milliseconds. */
const timeoutMs = 10_000;

async function waitForever(): Promise<StoredDocumentOutcome> {
	return new Promise(() => {
		// The store never responds.
	});
}

const unresponsiveStore: DocumentStore = {
	readDocument: waitForever,
	readRevision: waitForever,
	watchDocument: waitForever,
};

const failOnCall = (): never => {
	throw new Error('unexpected call from another node');
};

test('a node gets the full document from a peer, then only the changes', async (t) => {
	const sent: unknown[] = [];
	const logger = {
		...createSilentLogger(),
		info(message: string, fields?: Readonly<Record<string, unknown>>) {
			if (message === 'configuration sent') {
				sent.push(fields?.kind);
			}
		},
	};
	const peers = createPeerClients();
	const first: RoutingDocument = {
		version: 1,
		routes: [createSampleRoute('a'), createSampleRoute('b')],
		services: {},
	};
	const second: RoutingDocument = {
		version: 2,
		routes: [createSampleRoute('a'), createSampleRoute('c')],
		services: {},
	};
	let answerWatch = (_outcome: StoredDocumentOutcome): void => undefined;
	const source = startDocumentTask({
		name: 'a',
		peers,
		logger,
		onDocument: () => undefined,
		store: {
			...unresponsiveStore,
			readDocument: async () => ({kind: 'read', document: first, revision: 1}),
			watchDocument: async () =>
				new Promise((resolve) => {
					answerWatch = resolve;
				}),
		},
	});
	const gate = startGateTask({logger});
	const server = await startPeerServer({
		address: '127.0.0.1:0',
		gate,
		logger,
		handlers: {
			handlePoll: failOnCall,
			handleExchange: failOnCall,
			handleCrashes: failOnCall,
			handleAsk: gate.ask,
			handleCancel: gate.cancel,
			handleStamp: gate.readStamp,
			handleDocument: source.handlePoll,
		},
	});
	const documents: RoutingDocument[] = [];
	const receiver = startDocumentTask({
		name: 'b',
		peers,
		logger,
		store: unresponsiveStore,
		onDocument(document) {
			documents.push(document);
		},
	});
	t.after(async () => {
		source.stop();
		receiver.stop();
		await Promise.all([peers.stop(), gate.stop(), server.stop()]);
	});

	const self = createSampleMember({name: 'b', address: '127.0.0.1:1'});
	const members = [
		createSampleMember({name: 'a', address: server.address}),
		self,
	];
	receiver.updateMembers({self, members, candidates: new Map()});
	await pollUntil(async () => documents.length === 1, timeoutMs);
	answerWatch({kind: 'read', document: second, revision: 2});
	await pollUntil(async () => documents.length === 2, timeoutMs);
	assert.deepEqual(documents, [first, second]);
	assert.equal(documents[1]?.routes[0], documents[0]?.routes[0]);
	await pollUntil(async () => sent.length === 2, timeoutMs);
	assert.deepEqual(sent, ['whole', 'changes']);
});
