import {createRequestTrace} from './_lib/create-request-trace.js';
import {formatRequestTrace} from './_lib/format-request-trace.js';
import {parseLogLines} from './_lib/parse-log-lines.js';
import {readFileOperand} from './_lib/read-file-operand.js';
import type {CommandInput, CommandSpec, Terminal} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';

/** Specification of `trace`. */
export const traceSpec: CommandSpec = {
	name: 'trace',
	summary: 'Shows what happened to a request, from the logs of nodes.',
	operands: ['ID', '[FILE]'],
	options: [{name: 'json', description: 'print one JSON object'}],
	notes: [
		'FILE holds log lines of all nodes in any order; without it, or with -, standard',
		'input is read: cat *.log | boragehitch trace ID. Lists missing lines.',
		'Exit codes: 0 found, 2 wrong command line or unreadable file, 3 no line of ID.',
	],
};

/**
 * Prints the trace of a request, created from log lines.
 *
 * @param input - the parsed command line
 * @param terminal - input and output
 * @returns the exit code
 * @example
 * await runTrace({operands: ['af60bc29', 'nodes.log'], values: {}, flags}, terminal);
 */
export async function runTrace(
	input: CommandInput,
	terminal: Terminal,
): Promise<ExitCode> {
	const [requestId = '', file = '-'] = input.operands;
	const text = await readFileOperand(file, terminal);
	if (text.isErr()) {
		terminal.printError(`boragehitch trace: ${text.error}`);
		return exitCodes.usage;
	}

	const trace = createRequestTrace(parseLogLines(text.value), requestId);
	if (!trace) {
		terminal.printError(
			`boragehitch trace: no log line of request '${requestId}': it was answered and not sampled, or its lines were dropped`,
		);
		return exitCodes.refused;
	}

	terminal.print(
		input.flags.has('json') ? JSON.stringify(trace) : formatRequestTrace(trace),
	);
	return exitCodes.ok;
}
