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
	/** Returns a client; a fresh one opens connections of its own. */
	getClient(
		address: string,
		options?: {readonly isFresh?: boolean},
	): PeerClient;
	stop(): Promise<void>;
};

/** Options of `createPeerClients`. */
export type PeerClientsOptions = {
	/** Called with each new socket and what it is for. */
	readonly track?: (purpose: string, socket: Socket) => void;
};

function formatOwnKey(
	purpose: string,
	address: string,
	renewal: number,
): string {
	return `${purpose} ${address} ${renewal}`;
}

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

	const renewals = new Map<string, number>();

	function getAgent(purpose: string, address: string): Agent {
		const renewal = renewals.get(address);
		const key = renewal ? formatOwnKey(purpose, address, renewal) : purpose;
		const known = agents.get(key);
		if (known) {
			return known;
		}

		const agent = createCountedAgent(
			{connections: 4, keepAliveTimeout: 30_000},
			(socket) => {
				track?.(purpose, socket);
			},
		);
		agents.set(key, agent);
		return agent;
	}

	function renewConnections(address: string): void {
		const renewal = renewals.get(address) ?? 0;
		renewals.set(address, renewal + 1);
		for (const [key, agent] of agents) {
			if (key.endsWith(` ${address} ${renewal}`)) {
				agents.delete(key);
				void agent.close();
			}
		}
	}

	return {
		getClient(address, {isFresh = false} = {}) {
			if (isFresh) {
				renewConnections(address);
			}

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
								dispatcher: getAgent(readPurpose(String(url)), address),
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
