import assert from 'node:assert/strict';
import test from 'node:test';
import {findLayerProblems} from './find-layer-problems.js';
import {findVerbProblems} from './find-verb-problems.js';

test('imports go downward only', () => {
	const cases: Array<[string, string, number]> = [
		['src/state/a.ts', "import {b} from '../protocol/b.js';", 0],
		['src/state/a.ts', "import {b} from './_lib/b.js';", 0],
		['src/state/a.ts', "import {b} from '../coordination/b.js';", 1],
		['src/protocol/a.ts', "import type {B} from '../state/b.js';", 1],
		['src/coordination/_lib/a.ts', "export * from '../../transport/b.js';", 1],
		['src/transport/a.ts', "import {b} from '../cli/b.js';", 1],
		['src/transport/a.ts', "await import('../../harness/b.js');", 1],
		['src/transport/a.ts', "import {b} from 'undici';", 0],
		['src/state/index.ts', '', 1],
	];
	for (const [file, text, expected] of cases) {
		assert.equal(findLayerProblems(file, text).length, expected, text);
	}
});

test('exported functions begin with a listed verb', () => {
	const text = `
		export function createNode() {}
		export async function nodeStarter() {}
		export const creation = () => 1;
		export const limit = 3;
		function helper() {}
	`;
	assert.deepEqual(findVerbProblems('a.ts', text, new Set(['create'])), [
		'a.ts: nodeStarter begins with no verb of docs/VERBS.md',
		'a.ts: creation begins with no verb of docs/VERBS.md',
	]);
});
