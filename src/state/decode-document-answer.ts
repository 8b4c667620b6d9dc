import {Buffer} from 'node:buffer';
import {inflateSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {maxDocumentBytes} from '../protocol/constants.js';
import {
	encodedChangesSchema,
	encodedDocumentAnswerSchema,
	type DocumentAnswer,
} from '../protocol/routing-document.js';
import {decodeDocumentParts} from './_lib/decode-document-parts.js';
import {decodeWholeDocument} from './_lib/decode-whole-document.js';

function decodeText(text: string): unknown {
	const bytes = inflateSync(Buffer.from(text, 'base64'), {
		maxOutputLength: maxDocumentBytes,
	});
	try {
		return JSON.parse(bytes.toString());
	} catch {
		// The message of the error quotes the text, which holds API keys.
		throw new Error('not JSON');
	}
}

/**
 * Decodes the answer to a poll for a document, part by part: what cannot be read
 * is listed in the problems of the document, and the rest is used.
 *
 * @param value - the answer as received from another node
 * @returns the answer, or the reason why it is invalid
 * @example
 * decodeDocumentAnswer({kind: 'unchanged', ageMs: 10}).isOk(); // true
 */
export function decodeDocumentAnswer(
	value: unknown,
): Result<DocumentAnswer, string> {
	try {
		const answer = encodedDocumentAnswerSchema.parse(value);
		const {ageMs, proofAgeMs, heldMs = 0} = answer;
		const proof = proofAgeMs === undefined ? {} : {proofAgeMs, heldMs};
		switch (answer.kind) {
			case 'unchanged': {
				return ok({kind: 'unchanged', ageMs, ...proof});
			}

			case 'changes': {
				const {kind, text} = answer;
				const {from, to, removed, put, tenants, ...parts} =
					encodedChangesSchema.parse(decodeText(text));
				const changes = {
					from,
					to,
					removed,
					put,
					...(tenants && {tenants}),
					...decodeDocumentParts(parts),
				};
				return ok({kind, ageMs, ...proof, changes});
			}

			case 'whole': {
				const {kind, text} = answer;
				const document = decodeWholeDocument(decodeText(text));
				return ok({kind, ageMs, ...proof, document});
			}
		}
	} catch (error) {
		return err(error instanceof Error ? error.message : String(error));
	}
}
