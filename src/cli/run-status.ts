import {setTimeout as delay} from 'node:timers/promises';
import {callNode, type NodeResponse} from './_lib/call-node.js';
import {formatStatus, statusSchema, type Status} from './_lib/format-status.js';
import {
	nodeOptions,
	readNodeOptions,
	readNumber,
	type NodeOptions,
} from './_lib/node-options.js';
import type {CommandInput, CommandSpec, Terminal} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';

/** Specification of `status`. */
export const statusSpec: CommandSpec = {
	name: 'status',
	summary: 'Shows whether a version is in force, by data centre.',
	operands: ['[VERSION]'],
	options: [
		...nodeOptions,
		{
			name: 'wait',
			placeholder: 'SECONDS',
			description: 'wait until in force, 0 to 3600 s (0)',
		},
	],
	notes: [
		'VERSION is the newest one that the node runs when it is left out.',
		'Exit codes: 0 in force, 2 wrong command line, 3 refused, 4 unavailable,',
		'5 unknown (no such version yet), 6 accepted but not in force everywhere.',
	],
};

const pollIntervalMs = 250;
const maxWaitSeconds = 3600;

type StatusResult =
	| {readonly kind: 'status'; readonly status: Status}
	| {readonly kind: 'refused' | 'unavailable'; readonly message: string};

function readStatus(response: NodeResponse): StatusResult {
	if (response.kind !== 'answer') {
		return {kind: 'unavailable', message: response.message};
	}

	const parsed = statusSchema.safeParse(response.body);
	if (parsed.success && response.status === 200) {
		return {kind: 'status', status: parsed.data};
	}

	const kind = response.status < 500 ? 'refused' : 'unavailable';
	return {kind, message: JSON.stringify(response.body)};
}

function chooseExitCode(result: StatusResult): ExitCode {
	if (result.kind !== 'status') {
		return exitCodes[result.kind];
	}

	switch (result.status.state) {
		case 'in-force': {
			return exitCodes.ok;
		}

		case 'accepted': {
			return exitCodes.pending;
		}

		case 'refused': {
			return exitCodes.refused;
		}

		default: {
			return exitCodes.unknown;
		}
	}
}

async function pollStatus(
	options: NodeOptions,
	version: string | undefined,
	waitMs: number,
): Promise<StatusResult> {
	const endsAt = performance.now() + waitMs;
	let requestedVersion = version;
	for (;;) {
		const path =
			requestedVersion === undefined
				? '/status'
				: `/status/${requestedVersion}`;
		const result = readStatus(await callNode(options.address, path, options));
		const code = chooseExitCode(result);
		const isFinal = code === exitCodes.ok || code === exitCodes.refused;
		if (isFinal || performance.now() + pollIntervalMs > endsAt) {
			return result;
		}

		if (result.kind === 'status') {
			requestedVersion ??= String(result.status.version);
		}

		await delay(pollIntervalMs);
	}
}

/**
 * Shows the status of a version; with `--wait`, waits until it is in force.
 *
 * @param input - the parsed command line
 * @param terminal - output
 * @returns the exit code
 * @example
 * await runStatus({operands: ['7'], values: {node, wait: '5'}, flags}, terminal);
 */
export async function runStatus(
	input: CommandInput,
	terminal: Terminal,
): Promise<ExitCode> {
	const options = readNodeOptions(input);
	const wait = readNumber(input, 'wait', {
		min: 0,
		max: maxWaitSeconds,
		default: 0,
	});
	const [version] = input.operands;
	const isVersionValid = version === undefined || /^\d{1,15}$/v.test(version);
	if (options.isErr() || wait.isErr() || !isVersionValid) {
		const problems = [
			options.isErr() ? options.error : '',
			wait.isErr() ? wait.error : '',
			isVersionValid ? '' : `VERSION: '${version}' is not a whole number`,
		];
		for (const problem of problems.filter(Boolean)) {
			terminal.printError(`boragehitch status: ${problem}`);
		}

		return exitCodes.usage;
	}

	const result = await pollStatus(options.value, version, wait.value * 1000);
	if (options.value.isJson) {
		terminal.print(
			JSON.stringify(result.kind === 'status' ? result.status : result),
		);
	} else if (result.kind === 'status') {
		terminal.print(formatStatus(result.status));
	} else {
		terminal.print(`${result.kind}: ${result.message}`);
	}

	return chooseExitCode(result);
}
