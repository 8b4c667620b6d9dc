import type {Agent} from 'node:http';

/**
 * Returns whether an agent has an idle connection to a server.
 *
 * @param agent - the agent
 * @param address - IP address and port of the server
 * @returns whether the next request to the server is sent on a kept connection
 */
export function hasIdleConnection(agent: Agent, address: string): boolean {
	const [host, port] = address.split(':');
	const name = agent.getName({host: host!, port: Number(port)});
	return (agent.freeSockets[name]?.length ?? 0) > 0;
}
