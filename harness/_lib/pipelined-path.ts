import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {createConnection, type Socket} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import type {TestContext} from 'node:test';
import {pollUntil} from '../poll-until.js';
import {defaultEdge} from '../../src/transport/default-edge.js';
import {sendOutcome} from '../../src/transport/_lib/send-outcome.js';
import {
	startServer,
	type RunningServer,
} from '../../src/transport/_lib/start-server.js';

/** A server that holds its responses, and a client that pipelines. */
export type PipelinedPath = {
	readonly server: RunningServer;
	readonly socket: Socket;
	/** The server's side of the connection. */
	readonly accepted: Socket;
	/** The responses that are held, by path. */
	readonly held: Map<string, ServerResponse>;
	/** The paths of all requests that were handled. */
	readonly handled: string[];
	/** The paths of all requests whose clients left before the end of the response. */
	readonly cancelled: string[];
	/** Resolves with all that the client has received once its connection is closed. */
	readonly received: Promise<string>;
};

/** Starts such a server and connects its client. A request for `/refused` is refused with its body unread. */
export async function startPipelinedPath(
	t: TestContext,
): Promise<PipelinedPath> {
	const held = new Map<string, ServerResponse>();
	const handled: string[] = [];
	const cancelled: string[] = [];
	const server = await startServer(
		'127.0.0.1:0',
		({url = ''}, response: ServerResponse) => {
			handled.push(url);
			response.once('close', () => {
				if (!response.writableFinished) {
					cancelled.push(url);
				}
			});
			if (url === '/refused') {
				sendOutcome(
					response,
					{
						outcome: 'not-run',
						reason: 'body-too-large',
						retryAfterSeconds: 1,
					},
					defaultEdge,
				);
			} else {
				held.set(url, response);
			}
		},
	);
	const [host, port] = server.address.split(':');
	const socket = createConnection(Number(port), host);
	const accepted = await new Promise<Socket>((resolve) => {
		server.server.once('connection', resolve);
	});
	t.after(async () => {
		socket.destroy();
		await server.stop();
	});
	return {
		server,
		socket,
		accepted,
		held,
		handled,
		cancelled,
		received: readText(socket),
	};
}

/** Formats a GET request with its `headers`, each with its line end. */
export function formatGet(path: string, headers = ''): string {
	return `GET ${path} HTTP/1.1\r\nhost: a\r\n${headers}\r\n`;
}

/** Waits until a request is handled, and returns its response. */
export async function findHeld(
	{held}: PipelinedPath,
	path: string,
): Promise<ServerResponse> {
	assert.ok(await pollUntil(async () => held.has(path), 5000), path);
	return held.get(path)!;
}

/** Lists the statuses, bodies and connection headers of the received responses. */
export function listResponses(text: string): string[] {
	return text.split(/(?=HTTP\/1\.1 )/v).map((response) => {
		const {status} = /^HTTP\/1\.1 (?<status>\d+)/v.exec(response)?.groups ?? {};
		const {value} =
			/^connection: (?<value>[\w\-]+)/imv.exec(response)?.groups ?? {};
		const [body] = /<\w+>/v.exec(response) ?? [];
		return [status, body, value].filter((part) => part !== undefined).join(' ');
	});
}
