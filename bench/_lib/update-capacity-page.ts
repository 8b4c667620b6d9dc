import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {format} from 'prettier';
import type {z} from 'zod';
import {formatCapacity} from './format-capacity.js';
import {
	configFileSchema,
	membersFileSchema,
	requestsFileSchema,
} from './measurement-files.js';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** Path of the capacity page. */
export const capacityPage = path.join(root, 'docs/CAPACITY.md');

async function readMeasurement<T extends z.ZodType>(
	name: string,
	schema: T,
): Promise<z.infer<T> | undefined> {
	const file = path.join(root, 'bench/measurements', `${name}.json`);
	try {
		const value: unknown = JSON.parse(await readFile(file, 'utf8'));
		return schema.safeParse(value).data;
	} catch {
		return undefined;
	}
}

function replaceTable(page: string, name: string, table: string): string {
	const begin = `<!-- capacity: ${name} -->`;
	const end = `<!-- end: ${name} -->`;
	const from = page.indexOf(begin);
	const to = page.indexOf(end);
	if (from === -1 || to === -1) {
		throw new Error(`docs/CAPACITY.md has no markers of ${name}`);
	}

	return `${page.slice(0, from)}${begin}\n\n${table}\n\n${page.slice(to)}`;
}

/**
 * Reads the capacity page and computes it anew from the measurement files.
 *
 * @returns the page as it is and as it ought to be
 * @throws when the page lacks the markers of a table
 * @example
 * const {current, expected} = await updateCapacityPage();
 */
export async function updateCapacityPage(): Promise<{
	readonly current: string;
	readonly expected: string;
}> {
	const current = await readFile(capacityPage, 'utf8');
	const tables = formatCapacity({
		members: await readMeasurement('members', membersFileSchema),
		config: await readMeasurement('config', configFileSchema),
		requests: await readMeasurement('requests', requestsFileSchema),
	});
	let page = current;
	for (const [name, table] of tables) {
		page = replaceTable(page, name, table);
	}

	return {current, expected: await format(page, {parser: 'markdown'})};
}
