import type {CommandSpec} from './command.js';

const optionColumnWidth = 24;

/**
 * Formats the first line of a command's help.
 *
 * @param spec - specification of the command
 * @returns the usage line
 */
function formatUsage(spec: CommandSpec): string {
	const options = spec.options.map(({name, placeholder, isRequired}) => {
		const option = placeholder ? `--${name} ${placeholder}` : `--${name}`;
		return isRequired ? option : `[${option}]`;
	});
	return ['boragehitch', spec.name, ...spec.operands, ...options].join(' ');
}

/**
 * Formats the help of a command.
 *
 * @param spec - specification of the command
 * @returns the help, several lines
 * @example
 * formatHelp(spec).startsWith('Usage: boragehitch');
 */
export function formatHelp(spec: CommandSpec): string {
	const options = spec.options.map(({name, placeholder, description}) => {
		const option = placeholder ? `--${name} ${placeholder}` : `--${name}`;
		return `  ${option.padEnd(optionColumnWidth)}${description}`;
	});
	return [
		`Usage: ${formatUsage(spec)}`,
		'',
		spec.summary,
		'',
		'Options:',
		...options,
		`  ${'--help'.padEnd(optionColumnWidth)}show this help`,
		...(spec.notes.length > 0 ? ['', ...spec.notes] : []),
	].join('\n');
}
