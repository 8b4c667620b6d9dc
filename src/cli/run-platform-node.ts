import {readFile, stat} from 'node:fs/promises';
import process from 'node:process';
import {createControlListener} from '../../platform/create-control-listener.js';
import {createServerProbe} from '../../platform/create-server-probe.js';
import {createStoreClient} from '../../platform/create-store-client.js';
import {platformEdge} from '../../platform/edge.js';
import {readNodeSettings} from '../../platform/read-node-settings.js';
import {createLogger} from '../transport/create-logger.js';
import {
	startMeshNode,
	type RunningMeshNode,
} from '../transport/start-mesh-node.js';
import {readFileOperand} from './_lib/read-file-operand.js';
import {waitForStop} from './_lib/wait-for-stop.js';
import type {Terminal} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';

/** Interval between checks of the settings file for changes, ms. */
const settingsCheckIntervalMs = 1000;

/** Time after which a stopped node's process exits even if connections are still open, ms. */
const exitDelayMs = 100;

async function readModificationTime(file: string): Promise<number> {
	try {
		const {mtimeMs} = await stat(file);
		return mtimeMs;
	} catch {
		// The file is absent while it is being replaced; a later check reads it.
		return 0;
	}
}

/** Reloads the settings on SIGHUP and when the file has changed. */
function watchSettings(
	file: string,
	initialText: string,
	node: RunningMeshNode,
	terminal: Terminal,
): NodeJS.Timeout {
	let text = initialText;
	let changedAt = 0;
	async function reload(): Promise<void> {
		const next = await readFile(file, 'utf8');
		if (next === text) {
			return;
		}

		text = next;
		const settings = readNodeSettings(file, next);
		if (settings.isErr()) {
			terminal.printError(settings.error.join('\n'));
		} else {
			node.reload(settings.value);
		}
	}

	async function check(): Promise<void> {
		const time = await readModificationTime(file);
		if (time !== changedAt) {
			changedAt = time;
			await reload();
		}
	}

	function runInBackground(action: () => Promise<void>): void {
		action().catch((error: unknown) => {
			terminal.printError(`${file}: reload failed: ${String(error)}`);
		});
	}

	process.on('SIGHUP', () => {
		runInBackground(reload);
	});
	runInBackground(check);
	return setInterval(runInBackground, settingsCheckIntervalMs, check);
}

/**
 * Runs a node started by the users' platform until it receives SIGTERM or SIGINT.
 *
 * @param file - the settings file of the platform
 * @param terminal - output
 * @returns the exit code
 * @example
 * await runPlatformNode('/etc/boragehitch/boot.yaml', terminal);
 */
export async function runPlatformNode(
	file: string,
	terminal: Terminal,
): Promise<ExitCode> {
	const text = await readFileOperand(file, terminal);
	if (text.isErr()) {
		terminal.printError(text.error);
		return exitCodes.usage;
	}

	const initialText = text.value;
	const settings = readNodeSettings(file, initialText);
	if (settings.isErr()) {
		terminal.printError(settings.error.join('\n'));
		return exitCodes.usage;
	}

	const logger = createLogger('info', settings.value.name, {stream: 'stdout'});
	// The node serves callers before all of its tasks have started.
	const stopRequested = waitForStop();
	try {
		const node = await startMeshNode(
			settings.value,
			{
				createStore: (onSocket) =>
					createStoreClient(settings.value.store, {logger, onSocket}),
				edge: platformEdge,
				probeUpstream: createServerProbe(),
				createAnnouncementListener: (handlers) =>
					createControlListener({...handlers, logger}),
			},
			logger,
		);
		const timer = watchSettings(file, initialText, node, terminal);
		await stopRequested;
		clearInterval(timer);
		await node.stop();
		// Connections that clients keep open must not delay the exit.
		setTimeout(() => {
			// eslint-disable-next-line unicorn/no-process-exit
			process.exit();
		}, exitDelayMs).unref();
		return exitCodes.ok;
	} catch (error) {
		terminal.printError(`boragehitch node: ${String(error)}`);
		return exitCodes.failed;
	}
}
