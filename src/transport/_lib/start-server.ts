import {createServer, type RequestListener, type Server} from 'node:http';

/** An HTTP server that can be stopped without cutting requests. */
export type RunningServer = {
	readonly server: Server;
	readonly address: string;
	/** Asks clients, with each further answer, to close their connections. */
	drain(): void;
	/** Stops listening and waits for requests in flight. */
	stop(): Promise<void>;
};

/**
 * Starts an HTTP server.
 *
 * @param address - IP and port, as `IP:PORT`; port 0 takes a free one
 * @param listener - handles each request
 * @returns the running server
 */
export async function startServer(
	address: string,
	listener: RequestListener,
): Promise<RunningServer> {
	const [host = '', port = '0'] = address.split(':');
	let isStopping = false;
	const server = createServer(
		{keepAliveTimeout: 60_000, requestTimeout: 60_000},
		(request, response) => {
			if (isStopping) {
				response.setHeader('connection', 'close');
			}

			listener(request, response);
		},
	);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), host, resolve);
	});
	const bound = server.address();
	const boundPort = typeof bound === 'object' ? bound?.port : undefined;
	return {
		server,
		address: `${host}:${boundPort}`,
		drain() {
			isStopping = true;
		},
		async stop() {
			isStopping = true;
			await new Promise<void>((resolve) => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
		},
	};
}
