import assert from 'node:assert/strict';
import test from 'node:test';
import {deflateSync} from 'node:zlib';
import {createSampleRoute} from '../../harness/create-sample-route.js';
import {documentStaleMs, maxDocumentBytes} from '../protocol/constants.js';
import type {
	DocumentAnswer,
	RoutingDocument,
} from '../protocol/routing-document.js';
import {applyDocumentChanges} from './apply-document-changes.js';
import {decodeDocumentAnswer} from './decode-document-answer.js';
import {encodeDocumentAnswer} from './encode-document-answer.js';

const ageMs = 7;

test('encoding and decoding preserves an answer', () => {
	const answers: DocumentAnswer[] = [
		{kind: 'unchanged', ageMs},
		{kind: 'unchanged', ageMs, proofAgeMs: 30, heldMs: 4},
		{
			kind: 'whole',
			ageMs,
			proofAgeMs: 30,
			heldMs: 0,
			document: {version: 1, routes: [], services: {}},
		},
		{
			kind: 'changes',
			ageMs,
			changes: {from: 1, to: 2, removed: ['a'], put: [], services: {}},
		},
	];
	for (const answer of answers) {
		const sent = JSON.stringify(encodeDocumentAnswer(answer));
		const received: unknown = JSON.parse(sent);
		assert.deepEqual(decodeDocumentAnswer(received)._unsafeUnwrap(), answer);
	}
});

test('a proof that cannot be read is left out, and a hold time counts as none', () => {
	const answer = {kind: 'unchanged', ageMs} as const;
	for (const [proof, expected] of [
		[{proofAgeMs: -1, heldMs: 5}, {}],
		[{proofAgeMs: '3'}, {}],
		[{proofAgeMs: 3}, {proofAgeMs: 3, heldMs: 0}],
		[
			{proofAgeMs: 3, heldMs: 'x'},
			{proofAgeMs: 3, heldMs: 0},
		],
	] as const) {
		const decoded = decodeDocumentAnswer({...answer, ...proof});
		assert.deepEqual(decoded._unsafeUnwrap(), {...answer, ...expected});
	}
});

test('a text that is truncated, has an invalid content or inflates beyond the limit is refused', () => {
	const complete = deflateSync('{"version":1,"routes":[],"services":{}}');
	const tooLong = deflateSync(' '.repeat(maxDocumentBytes + 1));
	const texts = [
		complete.subarray(0, 12).toString('base64'),
		deflateSync('{"version":1}').toString('base64'),
		tooLong.toString('base64'),
		'no text',
	];
	for (const text of texts) {
		assert.ok(decodeDocumentAnswer({kind: 'whole', ageMs, text}).isErr());
	}
});

const service = {healthPath: '/', connections: 4};
const limits = {
	maxHeaderBytes: 1,
	maxBodyBytes: 2,
	headerTimeoutMs: 3,
	idleTimeoutMs: 4,
};
const [first, second] = ['a', 'b'].map((name) => createSampleRoute(name));
const document = {
	version: 4,
	routes: [first, second],
	services: {pricebook: service},
	limits,
};

// The reason is logged, and the message of JSON.parse quotes the text.
test('the reason why a text is refused has no part of an API key', () => {
	const json = '{"version":1,"tenants":[{"keys":["k1-of-linden",x]}]}';
	const text = deflateSync(json).toString('base64');
	const decoded = decodeDocumentAnswer({kind: 'whole', ageMs, text});
	assert.equal(decoded._unsafeUnwrapErr(), 'not JSON');
});

/** Decodes an answer whose content is given as JSON or as a value. */
function decodeContent(kind: 'whole' | 'changes', content: unknown) {
	const json = typeof content === 'string' ? content : JSON.stringify(content);
	const text = deflateSync(json).toString('base64');
	return decodeDocumentAnswer({kind, ageMs, text});
}

function decodeDocument(content: unknown): RoutingDocument {
	const answer = decodeContent('whole', content)._unsafeUnwrap();
	assert.ok(answer.kind === 'whole');
	return answer.document;
}

test('a route that cannot be read costs itself only, and its requests are refused', () => {
	const route = createSampleRoute('odd');
	const oddRoutes: ReadonlyArray<
		readonly [unknown, Readonly<Record<string, string>>]
	> = [
		[
			{...route, timeoutMs: -1},
			{host: route.host, pathPrefix: '/odd/'},
		],
		[
			{...route, maxAttempts: 0.5},
			{host: route.host, pathPrefix: '/odd/'},
		],
		[
			{...route, targets: []},
			{host: route.host, pathPrefix: '/odd/'},
		],
		[
			{...route, targets: [{service: 'a', weight: null}]},
			{host: route.host, pathPrefix: '/odd/'},
		],
		[{...route, host: 7}, {pathPrefix: '/odd/'}],
		[{...route, pathPrefix: 7}, {host: route.host}],
	];
	for (const [odd, known] of oddRoutes) {
		const {routes, services, problems} = decodeDocument({
			...document,
			routes: [first, odd, second],
		});
		assert.deepEqual(routes, [first, second]);
		assert.deepEqual(services, document.services);
		assert.equal(problems?.length, 1);
		const {reason, ...problem} = {reason: '', ...problems[0]};
		assert.deepEqual(problem, {kind: 'route-refused', name: 'odd', ...known});
		assert.ok(reason.length > 0 && reason.length < 512);
	}

	for (const json of ['7', 'null', '['.repeat(100_000) + ']'.repeat(100_000)]) {
		const text = `{"version":4,"routes":[${json},${JSON.stringify(first)}],"services":{}}`;
		const {routes, problems} = decodeDocument(text);
		assert.deepEqual(routes, [first]);
		assert.equal(problems?.[0]?.name, 'routes[0]');
	}
});

test('a service, limits or a problem that cannot be read cost themselves only', () => {
	const odd = {
		...document,
		services: {pricebook: service, odd: {...service, connections: 0}},
		limits: {...limits, idleTimeoutMs: -1},
		problems: [
			{kind: 'unknown', name: 'a'},
			{kind: 'route-refused', name: 'c', reason: 'd'},
		],
	};
	const decoded = decodeDocument(odd);
	assert.deepEqual(decoded.routes, document.routes);
	assert.deepEqual(decoded.services, document.services);
	assert.equal(decoded.limits, undefined);
	assert.deepEqual(
		decoded.problems?.map(({kind, name}) => `${kind} ${name}`),
		[
			'route-refused c',
			'left-out odd',
			'left-out problems[a]',
			'left-out limits',
		],
	);
	const changes = decodeContent('changes', {
		...odd,
		from: 3,
		to: 4,
		removed: [],
		put: [{index: 0, route: first}],
	})._unsafeUnwrap();
	assert.ok(changes.kind === 'changes');
	assert.deepEqual(changes.changes, {
		from: 3,
		to: 4,
		removed: [],
		put: [{index: 0, route: first}],
		services: decoded.services,
		problems: decoded.problems,
	});
});

test('an age that cannot be read counts as too old and does not cost the document', () => {
	const text = deflateSync(JSON.stringify(document)).toString('base64');
	for (const odd of [-1, '7', null, undefined, Infinity]) {
		const answer = decodeDocumentAnswer({kind: 'whole', ageMs: odd, text});
		const {ageMs: age, kind} = answer._unsafeUnwrap();
		assert.equal(kind, 'whole');
		assert.ok(age > documentStaleMs);
	}
});

test('a version that cannot be read makes an answer unusable', () => {
	const json = JSON.stringify({...document, version: '#'});
	for (const version of ['-1', '0.5', '1e400', '9007199254740993000', '"4"']) {
		const odd = json.replace('"#"', version);
		assert.ok(decodeContent('whole', odd).isErr(), version);
	}
});

test('a route that only this node cannot read is refused after later changes too', () => {
	const odd = {...createSampleRoute('odd'), timeoutMs: -1};
	const base = decodeDocument({...document, routes: [first, odd, second]});
	const changed = createSampleRoute('b', {timeoutMs: 900});
	const changes = {from: 4, to: 5, services: {}};
	const next = applyDocumentChanges(base, {
		...changes,
		removed: ['b'],
		put: [{index: 1, route: changed}],
	})._unsafeUnwrap();
	assert.deepEqual(next.routes, [first, changed]);
	assert.deepEqual(next.problems, base.problems);
	const later = applyDocumentChanges(next, {
		...changes,
		from: 5,
		to: 6,
		removed: [],
		put: [],
	})._unsafeUnwrap();
	assert.deepEqual(later.problems, base.problems);
	const removal = {...changes, removed: ['odd'], put: []};
	assert.ok(applyDocumentChanges(base, removal).isErr());
});
