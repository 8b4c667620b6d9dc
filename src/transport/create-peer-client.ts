import {createTRPCClient, httpLink} from '@trpc/client';
import {Agent, fetch as undiciFetch} from 'undici';
import type {PeerRouter} from './create-peer-router.js';

/** Client of one other node. */
export type PeerClient = ReturnType<typeof createTRPCClient<PeerRouter>>;

/** Clients of other nodes by address; one connection pool for all. */
export type PeerClients = {
	getClient(address: string): PeerClient;
	stop(): Promise<void>;
};

/**
 * Creates the clients with which a node calls other nodes.
 *
 * @returns the clients; each call takes an `AbortSignal` for its timeout
 * @example
 * createPeerClients().getClient('127.0.0.1:8081').ask.mutate({id: 'a'});
 */
export function createPeerClients(): PeerClients {
	const agent = new Agent({connections: 4, keepAliveTimeout: 30_000});
	const clients = new Map<string, PeerClient>();
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
								dispatcher: agent,
							}),
					}),
				],
			});
			clients.set(address, client);
			return client;
		},
		async stop() {
			await agent.destroy();
		},
	};
}
