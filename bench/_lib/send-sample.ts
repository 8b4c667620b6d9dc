import {type Agent, request as startRequest} from 'node:http';
import {createRequestHeaders} from '../../fakes/platform-messages.js';
import {reasonHeader} from '../../src/protocol/request.js';

/** A request of a benchmark. */
export type SampleRequest = {
	readonly path: string;
	readonly agent?: Agent;
	readonly body?: string | Uint8Array;
	readonly id?: string;
	/** Deadline of the client, ms; that of `createRequestHeaders` when absent. */
	readonly deadlineMs?: number;
	/** Ends the request. */
	readonly signal?: AbortSignal;
};

/** Answer to a request of a benchmark. */
export type SampleAnswer = {
	readonly status: number;
	/** Why a node has not had it run, if so. */
	readonly reason: string;
};

/**
 * Sends a request and reads its answer to the end.
 *
 * @param address - `IP:PORT`
 * @param request - see `SampleRequest`
 * @returns status of the answer, and the reason of a refusal
 * @throws when there is no complete answer
 * @example
 * (await sendSample('127.0.0.1:8100', {path: samplePath})).status; // 200
 */
export async function sendSample(
	address: string,
	{path, agent, body, id = 'request', deadlineMs, signal}: SampleRequest,
): Promise<SampleAnswer> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		const sent = startRequest(
			{
				host,
				port,
				path,
				agent,
				signal,
				method: body === undefined ? 'GET' : 'POST',
				headers: createRequestHeaders(id, deadlineMs),
			},
			(answer) => {
				answer.resume();
				answer.on('end', () => {
					const {statusCode: status = 0, headers} = answer;
					resolve({status, reason: String(headers[reasonHeader] ?? '')});
				});
				answer.on('error', reject);
			},
		);
		sent.on('error', reject);
		sent.end(body);
	});
}
