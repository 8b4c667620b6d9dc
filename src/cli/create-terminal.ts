import process from 'node:process';
import {text} from 'node:stream/consumers';
import type {Terminal} from './command.js';

/**
 * Creates the terminal of this process: its standard streams.
 *
 * @returns the terminal
 * @example
 * createTerminal().print('accepted');
 */
export function createTerminal(): Terminal {
	return {
		print(line) {
			process.stdout.write(`${line}\n`);
		},
		printError(line) {
			process.stderr.write(`${line}\n`);
		},
		async readInput() {
			return text(process.stdin);
		},
	};
}
