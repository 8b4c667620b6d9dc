import * as z from 'zod';
import {callNode} from './_lib/call-node.js';
import {nodeOptions, readNodeOptions} from './_lib/node-options.js';
import {printResponse} from './_lib/print-response.js';
import type {CommandInput, CommandSpec, Terminal} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';

/** What `explain` takes. */
export const explainSpec: CommandSpec = {
	name: 'explain',
	summary: 'Shows which route, policy and hosts a node has for a request.',
	operands: ['METHOD', 'PATH'],
	options: nodeOptions,
	notes: [
		'Nothing is sent to an upstream. Exit codes: 0 a route matches, 2 wrong command',
		'line, 3 no route matches, 4 unavailable.',
	],
};

const explainSchema = z.looseObject({
	version: z.number(),
	route: z
		.looseObject({
			team: z.string(),
			name: z.string(),
			path: z.string(),
			service: z.string(),
			repeatable: z.boolean(),
			deadlineMs: z.number(),
			maxAttempts: z.number(),
		})
		.optional(),
	hosts: z.array(
		z.looseObject({
			host: z.string(),
			dataCentre: z.string(),
			slots: z.number(),
		}),
	),
});

function formatExplanation(answer: z.infer<typeof explainSchema>): string {
	const {version, route, hosts} = answer;
	if (!route) {
		return `no route at version ${version}`;
	}

	const repeatable = route.repeatable ? 'repeatable' : 'not repeatable';
	const hostLines = hosts.map(
		({host, dataCentre, slots}) =>
			`  host ${host} in ${dataCentre}, ${slots} slots`,
	);
	return [
		`route ${route.name} of team ${route.team} at version ${version}: ${route.path} to ${route.service}`,
		`  policy: ${repeatable}, deadline ${route.deadlineMs} ms, at most ${route.maxAttempts} attempts`,
		...(hosts.length > 0
			? hostLines
			: ['  no host has a ready upstream: requests are refused as pending']),
	].join('\n');
}

/**
 * Explains where a node would send a request.
 *
 * @param input - the parsed command line
 * @param terminal - where to write
 * @returns the exit code
 * @example
 * await runExplain({operands: ['GET', '/kitchens/prices'], values, flags}, terminal);
 */
export async function runExplain(
	input: CommandInput,
	terminal: Terminal,
): Promise<ExitCode> {
	const options = readNodeOptions(input);
	const [method = '', path = ''] = input.operands;
	if (options.isErr() || !path.startsWith('/')) {
		const problem = options.isErr()
			? options.error
			: `PATH: '${path}' does not begin with /`;
		terminal.printError(`boragehitch explain: ${problem}`);
		return exitCodes.usage;
	}

	const {address, isJson} = options.value;
	const query = new URLSearchParams({method: method.toUpperCase(), path});
	const answer = await callNode(
		address,
		`/explain?${query.toString()}`,
		options.value,
	);
	return printResponse(answer, terminal, {
		schema: explainSchema,
		format: formatExplanation,
		isJson,
	});
}
