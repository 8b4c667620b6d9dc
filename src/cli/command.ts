/**
 * Types that describe a command of the command line.
 */
import type {ExitCode} from './exit-codes.js';

/** An option of a command. */
export type OptionSpec = {
	/** Name without the leading hyphens. */
	readonly name: string;
	/** Placeholder of its value in the help; absent for a flag. */
	readonly placeholder?: string;
	readonly description: string;
	readonly isRequired?: boolean;
};

/** Operands and options of a command, for parsing and for its help. */
export type CommandSpec = {
	readonly name: string;
	readonly summary: string;
	/** Operands in order; those in square brackets may be left out. */
	readonly operands: readonly string[];
	readonly options: readonly OptionSpec[];
	/** Further lines of the help. */
	readonly notes: readonly string[];
};

/** A parsed command line that matches its specification. */
export type CommandInput = {
	readonly operands: readonly string[];
	/** Options that take a value, by name. */
	readonly values: Readonly<Record<string, string>>;
	/** Names of the flags that are set. */
	readonly flags: ReadonlySet<string>;
};

/** Input and output of a command. */
export type Terminal = {
	/** Writes a line to standard output. */
	print(line: string): void;
	/** Writes a line to standard error. */
	printError(line: string): void;
	/** Reads standard input to its end. */
	readInput(): Promise<string>;
};

/** A command: its specification and its implementation. */
export type Command = {
	readonly spec: CommandSpec;
	readonly run: (input: CommandInput, terminal: Terminal) => Promise<ExitCode>;
};
