import type {Agent} from 'node:http';
import type {Socket} from 'node:net';
import {createTRPCClient, httpLink} from '@trpc/client';
import {adaptFetch, createPeerFetch} from './_lib/create-peer-fetch.js';
import {createPooledAgent} from './_lib/create-pooled-agent.js';
import {readProcedureName} from './_lib/read-procedure-name.js';
import type {PeerRouter} from './create-peer-router.js';

/** Client of one other node. */
export type PeerClient = ReturnType<typeof createTRPCClient<PeerRouter>>;

/** Clients of other nodes by address; one connection pool for each call. */
export type PeerClients = {
	/** Returns a client; a fresh one opens connections of its own. */
	getClient(
		address: string,
		options?: {readonly needsNewConnection?: boolean},
	): PeerClient;
	stop(): Promise<void>;
};

/** Options of `createPeerClients`. */
export type PeerClientsOptions = {
	/** Called with each new socket and what it is for. */
	readonly track?: (purpose: string, socket: Socket) => void;
};

/** Connections to one node for calls of one purpose. */
const maxPeerConnections = 4;

/** Time after which an idle connection to a node is closed, ms; above the periods of calls. */
const peerIdleMs = 30_000;

function formatOwnKey(
	purpose: string,
	address: string,
	renewal: number,
): string {
	return `${purpose} ${address} ${renewal}`;
}

/** Closes the idle connections of an agent; calls in flight end by themselves. */
function closeFreeSockets(agent: Agent): void {
	for (const socket of Object.values(agent.freeSockets).flat()) {
		socket?.destroy();
	}
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

		const agent = createPooledAgent({
			maxSockets: maxPeerConnections,
			timeout: peerIdleMs,
			onSocket(socket) {
				track?.(purpose, socket);
			},
		});
		agents.set(key, agent);
		return agent;
	}

	function renewConnections(address: string): void {
		const renewal = renewals.get(address) ?? 0;
		renewals.set(address, renewal + 1);
		for (const [key, agent] of agents) {
			if (key.endsWith(` ${address} ${renewal}`)) {
				agents.delete(key);
				closeFreeSockets(agent);
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
						fetch: adaptFetch(
							createPeerFetch(address, (url) =>
								getAgent(readProcedureName(url), address),
							),
						),
					}),
				],
			});
			clients.set(address, client);
			return client;
		},
		async stop() {
			for (const agent of agents.values()) {
				agent.destroy();
			}
		},
	};
}
