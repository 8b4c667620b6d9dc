import {parseArgs} from 'node:util';
import {request} from 'undici';
import {exitCodes, type ExitCode} from './exit-codes.js';

/**
 * Reads status or versions from a node and prints them as JSON.
 *
 * @param command - what to read
 * @param argv - arguments of the command
 * @returns the exit code
 * @example
 * await runQuery('status', ['--node', '127.0.0.1:8082']);
 */
export async function runQuery(
	command: 'status' | 'versions',
	argv: readonly string[],
): Promise<ExitCode> {
	const {values, positionals} = parseArgs({
		args: [...argv],
		allowPositionals: true,
		options: {node: {type: 'string'}, json: {type: 'boolean'}},
	});
	const path = [command, ...positionals].join('/');
	try {
		const response = await request(`http://${values.node}/${path}`);
		const answer = await response.body.json();
		console.log(JSON.stringify(answer, undefined, values.json ? undefined : 2));
		return response.statusCode === 200 ? exitCodes.ok : exitCodes.unavailable;
	} catch (error) {
		console.error(String(error));
		return exitCodes.unavailable;
	}
}
