import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleRoute} from '../../harness/create-sample-route.js';
import type {
	DocumentRoute,
	RoutingDocument,
} from '../protocol/routing-document.js';
import {applyDocumentChanges} from './apply-document-changes.js';
import {computeDocumentChanges} from './compute-document-changes.js';
import {mergeDocument} from './merge-document.js';

function createDocument(
	version: number,
	routes: readonly DocumentRoute[],
): RoutingDocument {
	return {version, routes: [...routes], services: {}};
}

const names = ['a', 'b', 'c', 'd'];
const base = createDocument(
	1,
	names.map((name) => createSampleRoute(name)),
);

test('changes contain only the routes that differ and yield the same document', () => {
	const next = mergeDocument(
		base,
		createDocument(2, [
			createSampleRoute('new'),
			createSampleRoute('a'),
			createSampleRoute('c', {
				targets: [{service: 'pricebook', weight: 9}],
			}),
			createSampleRoute('d'),
		]),
	);
	const changes = computeDocumentChanges(base, next)!;
	assert.deepEqual(changes.removed, ['b', 'c']);
	assert.deepEqual(
		changes.put.map(({index, route}) => [index, route.name]),
		[
			[0, 'new'],
			[2, 'c'],
		],
	);
	assert.deepEqual(applyDocumentChanges(base, changes)._unsafeUnwrap(), next);
});

test('reordered routes or duplicate route names require the full document', () => {
	const reordered = createDocument(2, base.routes.toReversed());
	assert.equal(computeDocumentChanges(base, reordered), undefined);
	const duplicated = createDocument(1, [
		createSampleRoute('a'),
		createSampleRoute('a', {
			targets: [{service: 'pricebook', weight: 2}],
		}),
	]);
	const deduplicated = createDocument(2, [duplicated.routes[0]!]);
	assert.equal(computeDocumentChanges(duplicated, deduplicated), undefined);
	const repeated = createDocument(2, [...base.routes, base.routes[0]!]);
	assert.equal(computeDocumentChanges(base, repeated), undefined);
});
