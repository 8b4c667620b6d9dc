import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

/** A source file. */
export type Source = {
	/** Path relative to the root, with forward slashes. */
	readonly file: string;
	readonly text: string;
};

/**
 * Reads the TypeScript sources of folders, without tests.
 *
 * @param folders - folders relative to the root
 * @returns the sources
 * @throws when a folder cannot be read
 * @example
 * await readSources(['src']);
 */
export async function readSources(
	folders: readonly string[],
): Promise<readonly Source[]> {
	const root = fileURLToPath(new URL('../', import.meta.url));
	const names = await Promise.all(
		folders.map(async (folder) => {
			const found = await readdir(path.join(root, folder), {recursive: true});
			return found.map((name) => path.posix.join(folder, name));
		}),
	);
	const files = names
		.flat()
		.filter((name) => name.endsWith('.ts') && !name.endsWith('.test.ts'));
	return Promise.all(
		files.toSorted().map(async (file) => ({
			file,
			text: await readFile(path.join(root, file), 'utf8'),
		})),
	);
}
