import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {findDuplicateKeys} from '../../../protocol/find-duplicate-keys.js';
import {readJsonText, type BodyRefusal} from './read-json-text.js';

/**
 * Reads and parses a JSON body; rejects one with duplicate keys.
 *
 * @param request - the request
 * @returns the value, or why the body is rejected
 */
export async function readJson(
	request: IncomingMessage,
): Promise<Result<unknown, BodyRefusal>> {
	const text = await readJsonText(request);
	return text.andThen((json) => {
		try {
			const value: unknown = JSON.parse(json);
			const [duplicate] = findDuplicateKeys(json);
			return duplicate
				? err({
						status: 400 as const,
						message: `${duplicate.join('.')} is given twice`,
					})
				: ok(value);
		} catch (error) {
			const reason = error instanceof Error ? error.message : String(error);
			return err({status: 400 as const, message: `not JSON: ${reason}`});
		}
	});
}
