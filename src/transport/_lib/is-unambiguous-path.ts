const suspiciousPattern = /\/\/|\\|\/\.|%2f|%5c|%2e|%00/iv;
const base = 'http://host';

/**
 * Checks that every server interprets a path in the same way.
 *
 * Rejects paths with empty or dot segments, with backslashes, with encoded
 * separators, dots or NUL bytes, and paths that are not absolute: an upstream
 * that normalizes such a path would serve another path than the one whose route
 * was matched.
 *
 * @param path - path as received, without the query
 * @returns true if the path is unambiguous
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
