import type {Socket} from 'node:net';
import {createTRPCClient, httpLink} from '@trpc/client';
import {fetch as undiciFetch, type Agent} from 'undici';
import {createCountedAgent} from './_lib/create-counted-agent.js';
import {readPurpose} from './_lib/read-purpose.js';
import type {PeerRouter} from './create-peer-router.js';

/** Client of one other node. */
export type PeerClient = ReturnType<typeof createTRPCClient<PeerRouter>>;

/** Clients of other nodes by address; one connection pool for each call. */
export type PeerClients = {
	getClient(address: string): PeerClient;
	stop(): Promise<void>;
};

/** Options of `createPeerClients`. */
export type PeerClientsOptions = {
	/** Called with each new socket and what it is for. */
	readonly track?: (purpose: string, socket: Socket) => void;
};

/**
 * Creates the clients with which a node calls other nodes.
 *
 * @param options - see `PeerClientsOptions`
 * @returns the clients; each call takes an `AbortSignal` for its timeout
 * @example
 * createPeerClients().getClient('127.0.0.1:8081').ask.mutate({id: 'a'});
 */
export function createPeerClients(
	options: PeerClientsOptions = {},
): PeerClients {
	const {track} = options;
	const agents = new Map<string, Agent>();
	const clients = new Map<string, PeerClient>();

	function getAgent(purpose: string): Agent {
		const known = agents.get(purpose);
		if (known) {
			return known;
		}

		const agent = createCountedAgent(
			{connections: 4, keepAliveTimeout: 30_000},
			(socket) => {
				track?.(purpose, socket);
			},
		);
		agents.set(purpose, agent);
		return agent;
	}

	return {
		getClient(address) {
			const known = clients.get(address);
			if (known) {
				return known;
			}

			const client = createTRPCClient<PeerRouter>({
				links: [
					httpLink({
						url: `http://${address}/trpc`,

						fetch: async (url, options) =>
							undiciFetch(String(url), {
								method: 'POST',
								headers: {'content-type': 'application/json'},
								body:
									typeof options?.body === 'string' ? options.body : undefined,
								signal: options?.signal,
								dispatcher: getAgent(readPurpose(String(url))),
							}),
					}),
				],
			});
			clients.set(address, client);
			return client;
		},
		async stop() {
			await Promise.all(
				[...agents.values()].map(async (agent) => agent.destroy()),
			);
		},
	};
}
