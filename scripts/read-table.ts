import {readFile} from 'node:fs/promises';

/**
 * Reads a table of a page in docs/.
 *
 * @param page - file name of the page
 * @param heading - text of the first cell of the table's heading
 * @returns the cells of each row, without code marks
 * @throws when the page cannot be read
 * @example
 * await readTable('CONFIGURATION.md', 'Section');
 */
export async function readTable(
	page: string,
	heading: string,
): Promise<ReadonlyArray<readonly string[]>> {
	const text = await readFile(
		new URL(`../docs/${page}`, import.meta.url),
		'utf8',
	);
	const lines = text.split('\n');
	const start = lines.findIndex((line) =>
		line.replaceAll(/\s/gv, '').startsWith(`|${heading}|`),
	);
	const rest = start === -1 ? [] : lines.slice(start + 2);
	const end = rest.findIndex((line) => !line.startsWith('|'));
	return rest.slice(0, end === -1 ? undefined : end).map((line) =>
		line
			.split('|')
			.slice(1, -1)
			.map((cell) => cell.trim().replaceAll('`', '')),
	);
}
