import type {KeyField} from '../../protocol/edge.js';

/** Credentials of the scheme `Bearer` (RFC 6750), whose name may be in any case. */
const bearerPattern = /^bearer +(?<key>[!-~]+)$/iv;

/**
 * Reads an API key that is sent with the scheme `Bearer`.
 *
 * @param rawHeaders - names and values in turn, as in `IncomingMessage.rawHeaders`
 * @param name - name of the header, in lower case
 * @returns the key; unreadable when the header is repeated or has another form
 * @example
 * readBearerKey(['Authorization', 'Bearer k1'], 'authorization'); // {kind: 'key', key: 'k1'}
 */
export function readBearerKey(
	rawHeaders: readonly string[],
	name: string,
): KeyField {
	let value: string | undefined;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const rawName = rawHeaders[index]!;
		if (rawName.length !== name.length || rawName.toLowerCase() !== name) {
			continue;
		}

		if (value !== undefined) {
			return {kind: 'unreadable'};
		}

		value = rawHeaders[index + 1]!;
	}

	if (value === undefined) {
		return {kind: 'none'};
	}

	const key = bearerPattern.exec(value)?.groups?.key;
	return key === undefined ? {kind: 'unreadable'} : {kind: 'key', key};
}
