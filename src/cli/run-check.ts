import {readNodeSettings} from '../../platform/read-node-settings.js';
import {checkManifest} from './check-manifest.js';
import {readFileOperand} from './_lib/read-file-operand.js';
import type {CommandInput, CommandSpec, Terminal} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {parseSettings} from './parse-settings.js';

/** Specification of `check`. */
export const checkSpec: CommandSpec = {
	name: 'check',
	summary: 'Checks a settings file (.ini, .yaml) or a manifest without a node.',
	operands: ['FILE'],
	options: [{name: 'json', description: 'print one JSON object'}],
	notes: [
		'A FILE whose name ends in .ini is a settings file, one that ends in .yaml the file',
		'that the platform writes for a process, any other a manifest; - reads',
		'a manifest from standard input. Only a node can check references to services of',
		'other teams and the revision that is replaced.',
		'Exit codes: 0 valid, 2 wrong command line or unreadable file, 3 not valid.',
	],
};

type CheckReport = {
	readonly problems: readonly string[];
	readonly unchecked: readonly string[];
};

function checkText(file: string, text: string): CheckReport {
	if (/\.ya?ml$/v.test(file)) {
		const settings = readNodeSettings(file, text);
		return {problems: settings.isErr() ? settings.error : [], unchecked: []};
	}

	if (file.endsWith('.ini')) {
		const settings = parseSettings(file, text);
		return {problems: settings.isErr() ? settings.error : [], unchecked: []};
	}

	const {problems, unchecked} = checkManifest(text);
	return {
		problems: problems.map(
			({place, code, message}) => `${file}: ${place}: ${code}: ${message}`,
		),
		unchecked,
	};
}

/**
 * Checks a settings file or a manifest and prints every problem.
 *
 * @param input - the parsed command line
 * @param terminal - input and output
 * @returns the exit code
 * @example
 * await runCheck({operands: ['node.ini'], values: {}, flags: new Set()}, terminal);
 */
export async function runCheck(
	input: CommandInput,
	terminal: Terminal,
): Promise<ExitCode> {
	const file = input.operands[0]!;
	const text = await readFileOperand(file, terminal);
	if (text.isErr()) {
		terminal.printError(`boragehitch check: ${text.error}`);
		return exitCodes.usage;
	}

	const report = checkText(file, text.value);
	const isValid = report.problems.length === 0;
	if (input.flags.has('json')) {
		terminal.print(JSON.stringify({valid: isValid, ...report}));
	} else {
		const lines = [
			...report.problems,
			...report.unchecked.map((place) => `${file}: ${place}: not checked`),
			...(isValid ? [`${file}: valid`] : []),
		];
		terminal.print(lines.join('\n'));
	}

	return isValid ? exitCodes.ok : exitCodes.refused;
}
