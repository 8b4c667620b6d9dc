/**
 * Reads the procedure name from the URL of a call between nodes.
 *
 * @param url - URL or path of the call, with or without a query
 * @returns the name of the procedure
 */
export function readProcedureName(url: string): string {
	const path = url.split('?', 1)[0]!;
	return path.slice(path.lastIndexOf('/') + 1);
}
