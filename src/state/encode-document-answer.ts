import {deflateSync} from 'node:zlib';
import type {
	DocumentAnswer,
	DocumentChanges,
	EncodedDocumentAnswer,
	RoutingDocument,
} from '../protocol/routing-document.js';

/** Cache of encoded texts by their content, shared by all receivers. */
const encodedTexts = new WeakMap<DocumentChanges | RoutingDocument, string>();

function encodeText(value: DocumentChanges | RoutingDocument): string {
	const cached = encodedTexts.get(value);
	if (cached !== undefined) {
		return cached;
	}

	const text = deflateSync(JSON.stringify(value)).toString('base64');
	encodedTexts.set(value, text);
	return text;
}

/**
 * Encodes the answer to a poll for a document. The content is compressed once,
 * whatever the number of nodes to which it is sent.
 *
 * @param answer - the answer
 * @returns the answer as sent
 * @example
 * encodeDocumentAnswer({kind: 'unchanged', ageMs: 10}).kind; // 'unchanged'
 */
export function encodeDocumentAnswer(
	answer: DocumentAnswer,
): EncodedDocumentAnswer {
	const {ageMs, proofAgeMs, heldMs} = answer;
	const proof = proofAgeMs === undefined ? {} : {proofAgeMs, heldMs};
	switch (answer.kind) {
		case 'unchanged': {
			return {kind: 'unchanged', ageMs, ...proof};
		}

		case 'changes': {
			const text = encodeText(answer.changes);
			return {kind: 'changes', ageMs, ...proof, text};
		}

		case 'whole': {
			const text = encodeText(answer.document);
			return {kind: 'whole', ageMs, ...proof, text};
		}
	}
}
