import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleRoute} from '../../harness/create-sample-route.js';
import type {
	DocumentChanges,
	DocumentRoute,
	RoutingDocument,
} from '../protocol/routing-document.js';
import {applyDocumentChanges} from './apply-document-changes.js';

const base: RoutingDocument = {
	version: 4,
	routes: ['a', 'b', 'c'].map((name) => createSampleRoute(name)),
	services: {pricebook: {healthPath: '/', connections: 4}},
};
const changes: DocumentChanges = {
	from: 4,
	to: 7,
	removed: ['a', 'b'],
	put: [{index: 0, route: createSampleRoute('b', {timeoutMs: 900})}],
	services: {},
};

test('changes yield the later document in its order and reuse unchanged routes', () => {
	const next = applyDocumentChanges(base, changes)._unsafeUnwrap();
	assert.deepEqual(next, {
		version: 7,
		routes: [createSampleRoute('b', {timeoutMs: 900}), createSampleRoute('c')],
		services: {},
	});
	assert.equal(next.routes[1], base.routes[2]);
});

test('changes that do not match their base are refused as a whole', () => {
	const invalidChanges: DocumentChanges[] = [
		{...changes, from: 3},
		{...changes, to: 4},
		{...changes, removed: ['a', 'x']},
		{...changes, removed: ['a', 'a']},
		{...changes, put: [{index: 9, route: createSampleRoute('d')}]},
		{
			...changes,
			put: [
				{index: 0, route: createSampleRoute('d')},
				{index: 0, route: createSampleRoute('e')},
			],
		},
	];
	for (const misfit of invalidChanges) {
		assert.ok(applyDocumentChanges(base, misfit).isErr());
	}
});
