const suspiciousPattern = /\/\/|\\|\/\.|%2f|%5c|%2e|%00/iv;
const base = 'http://host';

/**
 * Checks that a path means the same to every reader of it.
 *
 * Refused are paths with empty or dot segments, with encoded separators or
 * dots, and those that are not absolute: an upstream that normalises them would
 * serve another path than the one whose route was matched.
 *
 * @param path - path as received, without the query
 * @returns true when the path is unambiguous
 */
export function isUnambiguousPath(path: string): boolean {
	if (!suspiciousPattern.test(path)) {
		return path.startsWith('/');
	}

	return (
		!/\/\/|\\|%2f|%5c|%00/iv.test(path) &&
		URL.canParse(path, base) &&
		new URL(path, base).pathname === path
	);
}
