import type {IncomingHttpHeaders} from 'node:http';

/**
 * Tells whether a request has a body, which may be empty.
 *
 * @param headers - headers as received
 * @returns false if nothing but the head is to be read
 */
export function hasBody({
	'content-length': length,
	'transfer-encoding': coding,
}: IncomingHttpHeaders): boolean {
	return length !== undefined || coding !== undefined;
}
