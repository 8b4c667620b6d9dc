/**
 * A stand-in for a server of the users' platform: it answers after a fixed time, notes when requests arrive, and says of itself what it is told to.
 */
import {once} from 'node:events';
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
	/** Requests are answered before their bodies have come. */
	readonly answersEarly?: boolean;
};

/**
 * A request that the stand-in has got.
 */
export type Arrival = {
	/** Monotonic ms. */
	readonly at: number;
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	/** Bytes of the body so far. */
	bytes: number;
	/** Whether the whole body has come. */
	isWhole: boolean;
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
		const arrival = {
			at: performance.now(),
			path,
			headers,
			bytes: 0,
			isWhole: false,
		};
		arrivals.push(arrival);
		request.on('data', (chunk: Uint8Array) => {
			arrival.bytes += chunk.length;
		});
		request.on('error', () => {
			// The body was cut.
		});
		const ended = once(request, 'end').then(
			() => {
				arrival.isWhole = true;
			},
			() => undefined,
		);
		if (!behaviour.answersEarly) {
			await ended;
		}

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
