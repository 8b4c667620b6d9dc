import {once} from 'node:events';
import {
	Agent,
	createServer,
	request as startRequest,
	type Server,
} from 'node:http';

/** Header that names the last hop of a request. */
const lastHopHeader = 'x-last-hop';

/**
 * Starts a plain forwarder: the least that a hop can do with a request.
 *
 * @param listenAddress - `IP:PORT`
 * @param nextAddress - `IP:PORT` to which each request is sent
 * @returns the server, which listens
 * @example
 * await startPlainForwarder('127.0.0.1:8200', '127.0.0.1:8300');
 */
export async function startPlainForwarder(
	listenAddress: string,
	nextAddress: string,
): Promise<Server> {
	const [host, port] = listenAddress.split(':');
	const [nextHost, nextPort] = nextAddress.split(':');
	const agent = new Agent({keepAlive: true});
	const server = createServer((incoming, response) => {
		const forwarded = startRequest(
			{
				agent,
				host: nextHost,
				port: nextPort,
				method: incoming.method,
				path: incoming.url,
				headers: {...incoming.headers, [lastHopHeader]: listenAddress},
			},
			(answer) => {
				response.writeHead(answer.statusCode!, answer.headers);
				answer.pipe(response);
			},
		);
		forwarded.on('error', () => {
			response.destroy();
		});
		incoming.pipe(forwarded);
	});
	server.once('close', () => {
		agent.destroy();
	});
	server.listen(Number(port), host);
	await once(server, 'listening');
	return server;
}
