import assert from 'node:assert/strict';
import test from 'node:test';
import {
	runDocumentDelivery,
	type DocumentDeliveryOptions,
} from '../harness/run-document-delivery.js';
import type {
	DocumentRoute,
	RoutingDocument,
} from '../src/protocol/routing-document.js';
import {decodeDocumentAnswer} from '../src/state/decode-document-answer.js';
import {encodeDocumentAnswer} from '../src/state/encode-document-answer.js';

/** Time from the store's answer within which a change is in force, ms. */
const boundMs = 2500;

/** Control traffic that a node may spend, bytes per second (docs/CAPACITY.md). */
const controlBytesPerSecond = 17_000;

/** Time between two changes of a storm, ms. */
const stormIntervalMs = 170;

const startMs = 12_000;
const routeCount = 1613;

function createRoute(index: number, timeoutMs = 1200): DocumentRoute {
	return {
		name: `r-${(index * 7919).toString(36)}n2c`,
		host: `jepu${index % 97}.example`,
		pathPrefix: `/lepu${index}/`,
		repeatable: index % 2 === 0,
		timeoutMs,
		objectiveMs: 607,
		priority: index % 3,
		maxAttempts: 2,
		targets: [{service: `huvo${index % 3}a`, weight: 1}],
	};
}

/** Creates documents each of which changes one route of the one before. */
function createDocuments(count: number): RoutingDocument[] {
	let routes = Array.from({length: routeCount}, (_, index) =>
		createRoute(index),
	);
	return Array.from({length: count}, (_, version) => {
		routes = routes.with(version, createRoute(version, 1000 + version));
		return {version, routes, services: {}};
	});
}

const base = {
	names: Array.from({length: 23}, (_, index) => `sidecar-abdali-${index + 1}`),
	linkMbps: 3.5,
	encodeAnswer: (answer) => JSON.stringify(encodeDocumentAnswer(answer)),
	decodeAnswer: (text) =>
		decodeDocumentAnswer(JSON.parse(text))._unsafeUnwrap(),
} satisfies Partial<DocumentDeliveryOptions>;

test('a change over slow links is in force everywhere in time (CONFIG)', () => {
	const [first, second] = createDocuments(2);
	const run = runDocumentDelivery({
		...base,
		seed: 1,
		writes: [
			{atMs: 0, document: first!},
			{atMs: startMs, document: second!},
		],
		endMs: startMs + 8000,
		readingsMs: [startMs, startMs + boundMs],
	});
	assert.deepEqual(run.behind, []);
	assert.ok(run.slowestMs[0]! <= startMs);
	assert.ok(run.slowestMs[1]! <= boundMs);
	const [before, after] = run.mostSentBytes;
	assert.ok(after! - before! <= (controlBytesPerSecond * boundMs) / 1000);
});

test('a storm of changes over slow links is in force everywhere in time (CONFIG)', () => {
	const [first, ...others] = createDocuments(31);
	const run = runDocumentDelivery({
		...base,
		seed: 2,
		writes: [
			{atMs: 0, document: first!},
			...others.map((document, index) => ({
				atMs: startMs + stormIntervalMs * index,
				document,
			})),
		],
		endMs: startMs + 20_000,
	});
	assert.deepEqual(run.behind, []);
	assert.ok(Math.max(...run.slowestMs.slice(1)) <= boundMs);
	for (const versions of run.versions.values()) {
		assert.deepEqual(
			versions,
			versions.toSorted((a, b) => a - b),
		);
	}
});
