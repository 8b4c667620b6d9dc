import {request} from 'undici';
import {z} from 'zod';
import type {Host} from '../harness/start-host.js';

const echoSchema = z.object({
	upstream: z.string().default(''),
	runs: z.number().default(0),
	reason: z.string().default(''),
});

/** Answer of an upstream stand-in, or the node's refusal. */
export type Answer = z.infer<typeof echoSchema> & {readonly status: number};

/**
 * Sends a request as a caller beside a host's node.
 *
 * @param host - the host
 * @param method - `GET` is a lookup, `POST` an action that runs once
 * @param path - path of the request
 * @returns the answer
 * @throws when the connection fails
 * @example
 * (await callService(host, 'GET', '/kitchens/prices/lamb')).status; // 200
 */
export async function callService(
	host: Host,
	method: 'GET' | 'POST',
	path: string,
): Promise<Answer> {
	const {statusCode, body} = await request(
		`http://${host.node.ready.callers}${path}`,
		{
			method,
			...(method === 'POST' && {body: JSON.stringify({amount: 12})}),
		},
	);
	return {status: statusCode, ...echoSchema.parse(await body.json())};
}
