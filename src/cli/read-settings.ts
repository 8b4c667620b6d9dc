import {readFile} from 'node:fs/promises';
import {parse} from 'ini';
import {err, ok, type Result} from 'neverthrow';
import {settingsSchema, type Settings} from '../protocol/settings.js';

/**
 * Reads and checks a node's settings from an INI file.
 *
 * @param file - path of the file
 * @returns the settings, or one line for each problem
 * @example
 * (await readSettings('node.ini')).isOk();
 */
export async function readSettings(
	file: string,
): Promise<Result<Settings, readonly string[]>> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		return err([`${file}: ${String(error)}`]);
	}

	const parsed = settingsSchema.safeParse(structuredClone({...parse(text)}));
	if (parsed.success) {
		return ok(parsed.data);
	}

	return err(
		parsed.error.issues.map(
			(issue) => `${file}: [${issue.path.join('] ')}: ${issue.message}`,
		),
	);
}
