/**
 * Reads what a call between nodes is for: the procedure in its URL.
 *
 * @param url - URL or path of the call
 * @returns the name of the procedure
 */
export function readProcedureName(url: string): string {
	const path = url.split('?', 1)[0]!;
	return path.slice(path.lastIndexOf('/') + 1);
}
