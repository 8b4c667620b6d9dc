import process from 'node:process';
import {parseArgs} from 'node:util';
import {createLogger} from '../transport/create-logger.js';
import {startNode} from '../transport/start-node.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {readSettings} from './read-settings.js';

async function waitForSignal(): Promise<void> {
	await new Promise<void>((resolve) => {
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.once(signal, () => {
				resolve();
			});
		}
	});
}

/**
 * Runs a node until it is told to stop by SIGTERM or SIGINT.
 *
 * @param argv - arguments of the command
 * @returns the exit code
 * @example
 * await runNode(['--config', 'node.ini']);
 */
export async function runNode(argv: readonly string[]): Promise<ExitCode> {
	const {values} = parseArgs({
		args: [...argv],
		options: {config: {type: 'string'}},
	});
	const settings = await readSettings(values.config ?? 'node.ini');
	if (settings.isErr()) {
		console.error(settings.error.join('\n'));
		return exitCodes.usage;
	}

	const {node, log} = settings.value;
	const running = await startNode(
		settings.value,
		createLogger(log.level, node.name),
	);
	const {callers, peers, administration} = running;
	console.log(JSON.stringify({callers, peers, administration}));
	await waitForSignal();
	await running.stop();
	return exitCodes.ok;
}
