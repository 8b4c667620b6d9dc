import {createServer} from 'node:http';
import {buffer} from 'node:stream/consumers';
import {Agent, request as sendRequest} from 'undici';
import polka from 'polka';
import {createListener} from '../src/transport/_lib/create-listener.js';
import {closeServer, listenOn} from '../fakes/json-http.js';

/** Where the naive proxy sends requests. */
export type NaiveRoute = {
	readonly path: string;
	/** Methods that the route takes; empty for all. */
	readonly methods: readonly string[];
	/** Base URLs of the upstreams. */
	readonly upstreams: readonly string[];
};

/** A running naive proxy. */
export type NaiveProxy = {
	readonly url: string;
	stop(): Promise<void>;
};

/**
 * Starts a proxy that picks an upstream at random and forwards the request
 * once: no queue, no retry, no deadline, no ledger.
 *
 * @param routes - routes in order; the first that matches is taken
 * @param random - source of numbers from 0 up to 1
 * @returns the running proxy
 * @example
 * await startNaiveProxy([{path: '/a', methods: [], upstreams: [url]}], Math.random);
 */
export async function startNaiveProxy(
	routes: readonly NaiveRoute[],
	random: () => number,
): Promise<NaiveProxy> {
	const agent = new Agent({pipelining: 1});
	const app = polka().use(async (request, response) => {
		const path = request.url;
		const {method} = request;
		const route = routes.find(
			(item) =>
				(path === item.path || path.startsWith(`${item.path}/`)) &&
				(item.methods.length === 0 || item.methods.includes(method)),
		);
		if (!route) {
			response.writeHead(404).end();
			return;
		}

		const {upstreams} = route;
		const upstream = upstreams[Math.floor(random() * upstreams.length)]!;
		const body = await buffer(request);
		const answer = await sendRequest(`${upstream}${path}`, {
			dispatcher: agent,
			method,
			body: body.length > 0 ? body : undefined,
		});
		response.writeHead(answer.statusCode, {
			'content-type': 'application/json',
		});
		response.end(new Uint8Array(await answer.body.arrayBuffer()));
	});
	const server = createServer(createListener(app));
	const url = await listenOn(server, '127.0.0.1', 0);
	return {
		url,
		async stop() {
			server.closeIdleConnections();
			await closeServer(server);
			await agent.destroy();
		},
	};
}
