import type {z} from 'zod';
import type {Terminal} from '../command.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import type {NodeResponse} from './call-node.js';

/** Options of `printAnswer`. */
export type PrintOptions<T> = {
	readonly schema: z.ZodType<T>;
	readonly format: (value: T) => string;
	readonly isJson: boolean;
};

/**
 * Prints the answer to a read, or why there is none.
 *
 * @param answer - what came of the call
 * @param terminal - where to write
 * @param options - see `PrintOptions`
 * @returns the exit code
 */
export function printResponse<T>(
	answer: NodeResponse,
	terminal: Terminal,
	options: PrintOptions<T>,
): ExitCode {
	const {schema, format, isJson} = options;
	if (answer.kind !== 'answer') {
		const {message} = answer;
		terminal.print(
			isJson
				? JSON.stringify({kind: 'unavailable', message})
				: `unavailable: ${message}`,
		);
		return exitCodes.unavailable;
	}

	const parsed = schema.safeParse(answer.body);
	if (isJson || !parsed.success) {
		terminal.print(JSON.stringify(answer.body));
	} else {
		terminal.print(format(parsed.data));
	}

	if (answer.status >= 500) {
		return exitCodes.unavailable;
	}

	if (answer.status >= 400) {
		return exitCodes.refused;
	}

	return parsed.success ? exitCodes.ok : exitCodes.failed;
}
