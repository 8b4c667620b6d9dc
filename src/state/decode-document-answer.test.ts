import assert from 'node:assert/strict';
import test from 'node:test';
import {deflateSync} from 'node:zlib';
import {maxDocumentBytes} from '../protocol/constants.js';
import type {DocumentAnswer} from '../protocol/routing-document.js';
import {decodeDocumentAnswer} from './decode-document-answer.js';
import {encodeDocumentAnswer} from './encode-document-answer.js';

const ageMs = 7;

test('encoding and decoding preserves an answer', () => {
	const answers: DocumentAnswer[] = [
		{kind: 'unchanged', ageMs},
		{kind: 'whole', ageMs, document: {version: 1, routes: [], services: {}}},
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
