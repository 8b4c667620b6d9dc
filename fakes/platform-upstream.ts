/**
 * A stand-in for a server of the users' platform: it answers after a fixed time, notes when requests arrive, and says of itself what it is told to.
 */
import {
	createServer,
	type IncomingHttpHeaders,
	type OutgoingHttpHeaders,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {closeServer, listenOn} from './json-http.js';

/**
 * How the stand-in answers. Setting it replaces the earlier behaviour.
 */
export type PlatformUpstreamBehaviour = {
	/** Headers of each answer, such as `Server-Limit`. */
	readonly headers?: OutgoingHttpHeaders;
	/** Requests are answered as not executed. */
	readonly sheds?: boolean;
};

/**
 * A request that the stand-in has got.
 */
export type Arrival = {
	/** Monotonic ms. */
	readonly at: number;
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
};

/**
 * A running stand-in.
 */
export type PlatformUpstream = {
	readonly address: string;
	readonly arrivals: readonly Arrival[];
	setBehaviour(behaviour: PlatformUpstreamBehaviour): void;
	stop(): Promise<void>;
};

/**
 * Starts a stand-in for a server of the platform.
 */
export async function startPlatformUpstream({
	serviceMs = 10,
	port = 0,
} = {}): Promise<PlatformUpstream> {
	const arrivals: Arrival[] = [];
	let behaviour: PlatformUpstreamBehaviour = {};

	async function answer(...[request, response]: ServerParameters) {
		const {headers, url: path = '/'} = request;
		arrivals.push({at: performance.now(), path, headers});
		request.resume();
		await sleep(behaviour.sheds ? 0 : serviceMs);
		const id = headers['x-boragehitch-request-id'];
		response.writeHead(behaviour.sheds ? 503 : 200, {
			...(id !== undefined && {'x-boragehitch-request-id': id}),
			...(behaviour.sheds
				? {'x-boragehitch-not-executed': '1'}
				: {'x-boragehitch-response-signature': 'signed'}),
			...behaviour.headers,
		});
		response.end('price');
	}

	const server = createServer((request, response) => {
		void answer(request, response);
	});
	const url = await listenOn(server, '127.0.0.1', port);
	return {
		address: new URL(url).host,
		arrivals,
		setBehaviour(next) {
			behaviour = next;
		},
		async stop() {
			server.closeAllConnections();
			await closeServer(server);
		},
	};
}

type ServerParameters = Parameters<
	NonNullable<Parameters<typeof createServer>[1]>
>;
