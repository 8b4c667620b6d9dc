import {parseArgs} from 'node:util';
import {err, ok, type Result} from 'neverthrow';
import type {CommandInput, CommandSpec} from './command.js';

function readMessage(error: unknown): string {
	const message = error instanceof Error ? error.message : String(error);
	return message.split(/\.\s/v, 1)[0]!.replace(/\.$/v, '');
}

function findRepeated(names: readonly string[]): string | undefined {
	return names.find((name, index) => names.indexOf(name) !== index);
}

function checkOperands(
	spec: CommandSpec,
	operands: readonly string[],
): string | undefined {
	const missing = spec.operands
		.slice(operands.length)
		.find((operand) => !operand.startsWith('['));
	if (missing) {
		return `${missing} is missing`;
	}

	const extra = operands[spec.operands.length];
	return extra === undefined ? undefined : `unexpected argument '${extra}'`;
}

/**
 * Parses the arguments of a command by its specification.
 *
 * @param spec - specification of the command
 * @param argv - arguments after the command's name
 * @returns the parsed arguments, or the problem in one line
 * @example
 * parseCommandLine(spec, ['--node', '127.0.0.1:8082']).isOk();
 */
export function parseCommandLine(
	spec: CommandSpec,
	argv: readonly string[],
): Result<CommandInput, string> {
	const options = Object.fromEntries(
		spec.options.map(({name, placeholder}) => [
			name,
			{type: placeholder ? ('string' as const) : ('boolean' as const)},
		]),
	);
	try {
		const {values, positionals, tokens} = parseArgs({
			args: [...argv],
			options,
			allowPositionals: true,
			tokens: true,
		});
		const names = tokens.flatMap((token) =>
			token.kind === 'option' ? [token.name] : [],
		);
		const repeated = findRepeated(names);
		if (repeated) {
			return err(`option '--${repeated}' is given twice`);
		}

		const missing = spec.options.find(
			({name, isRequired}) => isRequired && values[name] === undefined,
		);
		if (missing) {
			return err(`option '--${missing.name}' is missing`);
		}

		const problem = checkOperands(spec, positionals);
		if (problem) {
			return err(problem);
		}

		const texts = Object.entries(values).filter(
			(entry): entry is [string, string] => typeof entry[1] === 'string',
		);
		return ok({
			operands: positionals,
			values: Object.fromEntries(texts),
			flags: new Set(names.filter((name) => values[name] === true)),
		});
	} catch (error) {
		return err(readMessage(error));
	}
}
