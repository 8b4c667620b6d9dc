import type {z} from 'zod';
import type {Terminal} from '../command.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import type {NodeResponse} from './call-node.js';

/** Options of `printResponse`. */
export type PrintOptions<T> = {
	readonly schema: z.ZodType<T>;
	readonly format: (value: T) => string;
	readonly isJson: boolean;
};

/**
 * Prints the response to a read, or why there is none.
 *
 * @param response - the outcome of the call
 * @param terminal - output
 * @param options - see `PrintOptions`
 * @returns the exit code
 */
export function printResponse<T>(
	response: NodeResponse,
	terminal: Terminal,
	options: PrintOptions<T>,
): ExitCode {
	const {schema, format, isJson} = options;
	if (response.kind !== 'answer') {
		const {message} = response;
		terminal.print(
			isJson
				? JSON.stringify({kind: 'unavailable', message})
				: `unavailable: ${message}`,
		);
		return exitCodes.unavailable;
	}

	const parsed = schema.safeParse(response.body);
	if (isJson || !parsed.success) {
		terminal.print(JSON.stringify(response.body));
	} else {
		terminal.print(format(parsed.data));
	}

	if (response.status >= 500) {
		return exitCodes.unavailable;
	}

	if (response.status >= 400) {
		return exitCodes.refused;
	}

	return parsed.success ? exitCodes.ok : exitCodes.failed;
}
