/**
 * Reads the id of an upstream from a path parameter.
 *
 * @param parameter - the parameter, percent-encoded
 * @returns the id, 1 to 64 printable characters; undefined if it is none
 */
export function readUpstreamId(parameter: unknown): string | undefined {
	try {
		const id = decodeURIComponent(String(parameter));
		return /^[\u0021-\u007E]{1,64}$/v.test(id) ? id : undefined;
	} catch {
		return undefined;
	}
}
