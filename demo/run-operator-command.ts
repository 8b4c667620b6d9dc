import {runCommand} from '../src/cli/run-command.js';
import {exitCodes, type ExitCode} from '../src/cli/exit-codes.js';

/**
 * Runs a command of the command line in this process and prints it with what
 * it printed.
 *
 * @param argv - the command and its arguments
 * @param expected - the exit code that it should have
 * @param input - standard input, for a manifest given as `-`
 * @throws when the exit code is another one
 * @example
 * await runOperatorCommand(['versions', '--node', address], 'ok');
 */
export async function runOperatorCommand(
	argv: readonly string[],
	expected: keyof typeof exitCodes,
	input?: unknown,
): Promise<void> {
	console.log(`$ boragehitch ${argv.join(' ')}`);
	const print = (text: string): void => {
		console.log(text.replaceAll(/^/gmv, '    '));
	};

	const code: ExitCode = await runCommand(argv, {
		print,
		printError: print,
		readInput: async () => JSON.stringify(input),
	});
	if (code !== exitCodes[expected]) {
		throw new Error(`exit code ${code}, expected ${exitCodes[expected]}`);
	}
}
