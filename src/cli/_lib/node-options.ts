/**
 * Options that the commands for operators share.
 */
import {err, ok, type Result} from 'neverthrow';
import {addressSchema} from '../../protocol/address.js';
import type {CommandInput, OptionSpec} from '../command.js';

/** Options of every command that calls a node. */
export const nodeOptions: readonly OptionSpec[] = [
	{
		name: 'node',
		placeholder: 'IP:PORT',
		description: "a node's administration address",
		isRequired: true,
	},
	{
		name: 'timeout',
		placeholder: 'MS',
		description: 'time-out of a call, 1 to 600000 ms (10000)',
	},
	{name: 'json', description: 'print one JSON object'},
];

/** Values of the shared options. */
export type NodeOptions = {
	readonly address: string;
	readonly timeoutMs: number;
	readonly isJson: boolean;
};

const maxTimeoutMs = 600_000;

/**
 * Reads an option whose value is a whole number in a range.
 *
 * @param input - the parsed command line
 * @param name - name of the option
 * @param range - lowest and highest value, and the default
 * @returns the number, or the problem
 */
export function readNumber(
	input: CommandInput,
	name: string,
	range: {readonly min: number; readonly max: number; readonly default: number},
): Result<number, string> {
	const text = input.values[name];
	if (text === undefined) {
		return ok(range.default);
	}

	const value = Number(text);
	return /^\d+$/v.test(text) && value >= range.min && value <= range.max
		? ok(value)
		: err(
				`--${name}: '${text}' is not a whole number from ${range.min} to ${range.max}`,
			);
}

/**
 * Reads the options that every command for operators has.
 *
 * @param input - the parsed command line
 * @returns the options, or the problem
 */
export function readNodeOptions(
	input: CommandInput,
): Result<NodeOptions, string> {
	const address = input.values.node ?? '';
	if (!addressSchema.safeParse(address).success) {
		return err(`--node: '${address}' is not IP:PORT`);
	}

	return readNumber(input, 'timeout', {
		min: 1,
		max: maxTimeoutMs,
		default: 10_000,
	}).map((timeoutMs) => ({
		address,
		timeoutMs,
		isJson: input.flags.has('json'),
	}));
}
