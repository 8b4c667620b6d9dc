import * as z from 'zod';
import {callNode} from './_lib/call-node.js';
import {nodeOptions, readNodeOptions} from './_lib/node-options.js';
import {printResponse} from './_lib/print-response.js';
import type {CommandInput, CommandSpec, Terminal} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';

/** What `versions` takes. */
export const versionsSpec: CommandSpec = {
	name: 'versions',
	summary: "Shows the version that a node runs and each team's revision.",
	operands: [],
	options: nodeOptions,
	notes: ['Exit codes: 0 shown, 2 wrong command line, 4 unavailable.'],
};

const versionsSchema = z.looseObject({
	version: z.number(),
	digest: z.string(),
	teams: z.array(
		z.looseObject({
			team: z.string(),
			revision: z.number(),
			version: z.number(),
		}),
	),
});

function formatVersions(answer: z.infer<typeof versionsSchema>): string {
	return [
		`runs version ${answer.version}, digest ${answer.digest}`,
		...answer.teams.map(
			({team, revision, version}) =>
				`  ${team}: revision ${revision}, since version ${version}`,
		),
	].join('\n');
}

/**
 * Shows the version that a node runs.
 *
 * @param input - the parsed command line
 * @param terminal - where to write
 * @returns the exit code
 * @example
 * await runVersions({operands: [], values: {node: '127.0.0.1:8082'}, flags}, terminal);
 */
export async function runVersions(
	input: CommandInput,
	terminal: Terminal,
): Promise<ExitCode> {
	const options = readNodeOptions(input);
	if (options.isErr()) {
		terminal.printError(`boragehitch versions: ${options.error}`);
		return exitCodes.usage;
	}

	const {address, isJson} = options.value;
	const answer = await callNode(address, '/versions', options.value);
	return printResponse(answer, terminal, {
		schema: versionsSchema,
		format: formatVersions,
		isJson,
	});
}
