import assert from 'node:assert/strict';
import {validateHeaderValue} from 'node:http';
import test from 'node:test';
import fc from 'fast-check';
import {createSampleAttempt} from '../../../harness/create-sample-attempt.js';
import {
	originHeader,
	routeHeader,
	serviceHeader,
	teamHeader,
} from '../../protocol/request.js';
import {createAttemptHeaders} from './create-attempt-headers.js';
import {decodeHeaderText} from './decode-header-text.js';
import {encodedTextPrefix, encodeHeaderText} from './encode-header-text.js';
import {readAttempt} from './read-attempt.js';

const seed = 40;
const oddNames = [
	'prices\u20AC',
	'line\nbreak',
	'\0',
	' prices',
	'prices\t',
	'\uD800',
	`${encodedTextPrefix}rCA=`,
];

test('names that a header can hold are sent as nodes of earlier versions send them', () => {
	for (const name of ['', 'prices', 'a b%20/c', 'caf\u00E9', 'null']) {
		assert.equal(encodeHeaderText(name), name);
		assert.equal(decodeHeaderText(name), name);
	}
});

test('each text arrives as it is, in a value that Node.js sends', () => {
	const texts = fc.oneof(
		fc.string({unit: 'binary'}),
		fc.constantFrom(...oddNames),
	);
	fc.assert(
		fc.property(texts, (text) => {
			const value = encodeHeaderText(text);
			validateHeaderValue('boragehitch-route', value);
			assert.equal(value, value.replaceAll(/^[\t ]+|[\t ]+$/gv, ''));
			assert.equal(decodeHeaderText(value), text);
		}),
		{seed, numRuns: 1000},
	);
});

// Regression: the names went into headers as they were, and Node.js threw.
test('names of the configuration and the settings that no header can hold arrive at the gate', () => {
	for (const name of oddNames) {
		const attempt = createSampleAttempt({
			team: name,
			service: name,
			route: name,
			origin: name,
		});
		const headers = createAttemptHeaders(attempt);
		for (const header of [
			teamHeader,
			serviceHeader,
			routeHeader,
			originHeader,
		]) {
			validateHeaderValue(header, String(headers[header]));
		}

		const {team, service, route, origin} = readAttempt(headers, attempt);
		assert.deepEqual(
			{team, service, route, origin},
			{
				team: name,
				service: name,
				route: name,
				origin: name,
			},
		);
	}
});
