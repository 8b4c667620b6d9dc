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

/** What `status` takes. */
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

type Reading =
	| {readonly kind: 'status'; readonly status: Status}
	| {readonly kind: 'refused' | 'unavailable'; readonly message: string};

function readStatus(answer: NodeResponse): Reading {
	if (answer.kind !== 'answer') {
		return {kind: 'unavailable', message: answer.message};
	}

	const parsed = statusSchema.safeParse(answer.body);
	if (parsed.success && answer.status === 200) {
		return {kind: 'status', status: parsed.data};
	}

	const kind = answer.status < 500 ? 'refused' : 'unavailable';
	return {kind, message: JSON.stringify(answer.body)};
}

function chooseExitCode(reading: Reading): ExitCode {
	if (reading.kind !== 'status') {
		return exitCodes[reading.kind];
	}

	switch (reading.status.state) {
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
): Promise<Reading> {
	const endsAt = performance.now() + waitMs;
	let asked = version;
	for (;;) {
		const path = asked === undefined ? '/status' : `/status/${asked}`;
		const reading = readStatus(await callNode(options.address, path, options));
		const code = chooseExitCode(reading);
		const isFinal = code === exitCodes.ok || code === exitCodes.refused;
		if (isFinal || performance.now() + pollIntervalMs > endsAt) {
			return reading;
		}

		if (reading.kind === 'status') {
			asked ??= String(reading.status.version);
		}

		await delay(pollIntervalMs);
	}
}

/**
 * Shows the status of a version, waiting until it is in force when asked to.
 *
 * @param input - the parsed command line
 * @param terminal - where to write
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

	const reading = await pollStatus(options.value, version, wait.value * 1000);
	if (options.value.isJson) {
		terminal.print(
			JSON.stringify(reading.kind === 'status' ? reading.status : reading),
		);
	} else if (reading.kind === 'status') {
		terminal.print(formatStatus(reading.status));
	} else {
		terminal.print(`${reading.kind}: ${reading.message}`);
	}

	return chooseExitCode(reading);
}
