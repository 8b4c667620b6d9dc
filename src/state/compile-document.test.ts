import assert from 'node:assert/strict';
import test from 'node:test';
import type {
	DocumentProblem,
	DocumentRoute,
} from '../protocol/routing-document.js';
import {compileDocument} from './compile-document.js';
import {matchRoute} from './match-route.js';

const route: DocumentRoute = {
	name: 'r-lookup',
	host: 'a.example',
	pathPrefix: '/lookup/',
	repeatable: true,
	timeoutMs: 1000,
	objectiveMs: 200,
	priority: 0,
	maxAttempts: 2,
	targets: [{service: 'register', weight: 1}],
};
const refused = {
	kind: 'route-refused',
	name: 'r-x',
	reason: 'no service',
} as const;

function match(problems: DocumentProblem[], host: string, path: string) {
	const table = compileDocument({
		version: 1,
		routes: [route],
		services: {},
		problems,
	});
	const found = matchRoute(table, {method: 'GET', host, path});
	return typeof found === 'object' ? found.name : found;
}

test('requests under the path of an unreadable route are refused', () => {
	const problems = [{...refused, host: 'A.example', pathPrefix: '/x/'}];
	assert.equal(match(problems, 'a.example', '/x/1'), 'unreadable');
	assert.equal(match(problems, 'a.example', '/lookup/1'), 'r-lookup');
	assert.equal(match(problems, 'a.example', '/y/1'), undefined);
	assert.equal(match(problems, 'b.example', '/x/1'), undefined);
});

test('an unreadable route without a path matches all otherwise unmatched requests of its host', () => {
	const problems = [{...refused, host: 'a.example'}];
	assert.equal(match(problems, 'a.example', '/y/1'), 'unreadable');
	assert.equal(match(problems, 'a.example', '/lookup/1'), 'r-lookup');
	assert.equal(match(problems, 'b.example', '/y/1'), undefined);
});

test('unmatched requests are refused while an unreadable route has no known host', () => {
	assert.equal(match([refused], 'b.example', '/y/1'), 'unreadable');
	assert.equal(match([refused], 'a.example', '/lookup/1'), 'r-lookup');
});

test('an unreadable route does not override a readable one', () => {
	const problems = [{...refused, host: 'a.example', pathPrefix: '/lookup/'}];
	assert.equal(match(problems, 'a.example', '/lookup/1'), 'r-lookup');
});
