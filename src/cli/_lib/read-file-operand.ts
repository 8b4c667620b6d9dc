import {readFile} from 'node:fs/promises';
import {err, ok, type Result} from 'neverthrow';
import type {Terminal} from '../command.js';

/**
 * Reads the file that an operand names; `-` is standard input.
 *
 * @param file - path of the file, or `-`
 * @param terminal - reads standard input
 * @returns the text, or why it cannot be read
 */
export async function readFileOperand(
	file: string,
	terminal: Terminal,
): Promise<Result<string, string>> {
	try {
		return ok(
			file === '-' ? await terminal.readInput() : await readFile(file, 'utf8'),
		);
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		return err(`${file}: cannot be read: ${reason}`);
	}
}
