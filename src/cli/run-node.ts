import process from 'node:process';
import {createStoreClient} from '../../platform/create-store-client.js';
import {settingsFileVariable} from '../../platform/wire-names.js';
import {createLogger} from '../transport/create-logger.js';
import {readFileOperand} from './_lib/read-file-operand.js';
import {waitForStop} from './_lib/wait-for-stop.js';
import type {CommandInput, CommandSpec, Terminal} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {parseSettings} from './parse-settings.js';

/** Specification of `node`. */
export const nodeSpec: CommandSpec = {
	name: 'node',
	summary: 'Runs a node until SIGTERM or SIGINT, which stop it gracefully.',
	operands: [],
	options: [
		{
			name: 'config',
			placeholder: 'FILE',
			description:
				'settings file, see docs/CONFIGURATION.md; without it the one that the platform names',
		},
	],
	notes: [
		'A FILE whose name ends in .ini has this system\u2019s own settings; any other is the',
		'file that the platform writes for each process.',
		'Prints its addresses as one JSON line when it is ready; logs go to standard',
		'error as JSON lines. Exit codes: 0 stopped gracefully, 1 failed, 2 wrong command',
		'line or settings.',
	],
};

/**
 * Runs a node until it receives SIGTERM or SIGINT.
 *
 * @param input - the parsed command line
 * @param terminal - output
 * @returns the exit code
 * @example
 * await runNode({operands: [], values: {config: 'node.ini'}, flags}, terminal);
 */
export async function runNode(
	input: CommandInput,
	terminal: Terminal,
): Promise<ExitCode> {
	const file = input.values.config ?? process.env[settingsFileVariable];
	if (file === undefined) {
		terminal.printError(
			`boragehitch node: neither --config nor ${settingsFileVariable} is given`,
		);
		return exitCodes.usage;
	}

	if (!file.endsWith('.ini')) {
		const {runPlatformNode} = await import('./run-platform-node.js');
		return runPlatformNode(file, terminal);
	}

	const text = await readFileOperand(file, terminal);
	const settings = text
		.mapErr((problem): readonly string[] => [problem])
		.andThen((value) => parseSettings(file, value));
	if (settings.isErr()) {
		terminal.printError(settings.error.join('\n'));
		return exitCodes.usage;
	}

	const {node, log} = settings.value;
	const logger = createLogger(log.level, node.name);
	// The node serves callers before all of its tasks have started.
	const stopRequested = waitForStop();
	try {
		// Imported lazily, because a node of the platform does not need all of these modules.
		const {startNode} = await import('../transport/start-node.js');
		const store = new URL(settings.value.platform.url).host;
		const runningNode = await startNode(settings.value, logger, (onSocket) =>
			createStoreClient(store, {logger, onSocket}),
		);
		const {callers, peers, administration} = runningNode;
		terminal.print(JSON.stringify({callers, peers, administration}));
		await stopRequested;
		await runningNode.stop();
		return exitCodes.ok;
	} catch (error) {
		terminal.printError(`boragehitch node: ${String(error)}`);
		return exitCodes.failed;
	}
}
