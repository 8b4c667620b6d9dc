import {exitCodes, type ExitCode} from './exit-codes.js';
import {runNode} from './run-node.js';
import {runQuery} from './run-query.js';
import {runSubmit} from './run-submit.js';

const help = `Usage: boragehitch COMMAND [OPTIONS]

Commands:
  node --config FILE.ini              run a node
  submit MANIFEST --node ADDRESS      submit a manifest
  status [VERSION] --node ADDRESS     show whether a version is in force
  versions --node ADDRESS             show the version that a node runs
`;

/**
 * Runs one command of the command line.
 *
 * @param argv - arguments after the program's name
 * @returns the exit code
 * @example
 * await runCommand(['--help']); // 0
 */
export async function runCommand(argv: readonly string[]): Promise<ExitCode> {
	const [command, ...rest] = argv;
	switch (command) {
		case 'node': {
			return runNode(rest);
		}

		case 'submit': {
			return runSubmit(rest);
		}

		case 'status':
		case 'versions': {
			return runQuery(command, rest);
		}

		case '--help':
		case undefined: {
			console.log(help);
			return command ? exitCodes.ok : exitCodes.usage;
		}

		default: {
			console.error(`unknown command: ${command}\n\n${help}`);
			return exitCodes.usage;
		}
	}
}
