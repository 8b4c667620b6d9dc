import {Buffer} from 'node:buffer';
import {inflateSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {maxDocumentBytes} from '../protocol/constants.js';
import {
	documentChangesSchema,
	encodedDocumentAnswerSchema,
	routingDocumentSchema,
	type DocumentAnswer,
} from '../protocol/routing-document.js';

function decodeText(text: string): unknown {
	const bytes = inflateSync(Buffer.from(text, 'base64'), {
		maxOutputLength: maxDocumentBytes,
	});
	return JSON.parse(bytes.toString());
}

/**
 * Decodes the answer to a poll for a document and validates its content.
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
		switch (answer.kind) {
			case 'unchanged': {
				return ok(answer);
			}

			case 'changes': {
				const {kind, ageMs, text} = answer;
				const changes = documentChangesSchema.parse(decodeText(text));
				return ok({kind, ageMs, changes});
			}

			case 'whole': {
				const {kind, ageMs, text} = answer;
				const document = routingDocumentSchema.parse(decodeText(text));
				return ok({kind, ageMs, document});
			}
		}
	} catch (error) {
		return err(error instanceof Error ? error.message : String(error));
	}
}
