import type {Command, Terminal} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {formatHelp} from './format-help.js';
import {parseCommandLine} from './parse-command-line.js';
import {checkSpec, runCheck} from './run-check.js';
import {explainSpec, runExplain} from './run-explain.js';
import {nodeSpec, runNode} from './run-node.js';
import {runStatus, statusSpec} from './run-status.js';
import {runSubmit, submitSpec} from './run-submit.js';
import {runTrace, traceSpec} from './run-trace.js';
import {runVersions, versionsSpec} from './run-versions.js';

const commands: readonly Command[] = [
	{spec: nodeSpec, run: runNode},
	{spec: submitSpec, run: runSubmit},
	{spec: statusSpec, run: runStatus},
	{spec: versionsSpec, run: runVersions},
	{spec: explainSpec, run: runExplain},
	{spec: checkSpec, run: runCheck},
	{spec: traceSpec, run: runTrace},
];

function formatOverview(): string {
	const lines = commands.map(
		({spec}) =>
			`  ${[spec.name, ...spec.operands].join(' ').padEnd(22)}${spec.summary}`,
	);
	return [
		'Usage: boragehitch COMMAND [ARGUMENTS]',
		'',
		'Commands:',
		...lines,
		'',
		'boragehitch COMMAND --help shows the help of a command.',
	].join('\n');
}

/**
 * Runs one command of the command line.
 *
 * @param argv - arguments after the program's name
 * @param terminal - input and output
 * @returns the exit code
 * @example
 * await runCommand(['--help'], createTerminal()); // 0
 */
export async function runCommand(
	argv: readonly string[],
	terminal: Terminal,
): Promise<ExitCode> {
	const [name = '', ...rest] = argv;
	if (name === '--help' || name === '-h') {
		terminal.print(formatOverview());
		return exitCodes.ok;
	}

	const command = commands.find(({spec}) => spec.name === name);
	if (!command) {
		const problem = name ? `unknown command '${name}'` : 'COMMAND is missing';
		terminal.printError(`boragehitch: ${problem}\n\n${formatOverview()}`);
		return exitCodes.usage;
	}

	if (rest.includes('--help')) {
		terminal.print(formatHelp(command.spec));
		return exitCodes.ok;
	}

	const input = parseCommandLine(command.spec, rest);
	if (input.isErr()) {
		terminal.printError(
			`boragehitch ${name}: ${input.error}; see boragehitch ${name} --help`,
		);
		return exitCodes.usage;
	}

	return command.run(input.value, terminal);
}
