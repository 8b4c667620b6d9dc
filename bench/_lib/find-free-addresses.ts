import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

const firstOctet = 127;
const minSecondOctet = 64;
const octets = 256;
const maxTries = 20;

async function listen(ip: string, port: number): Promise<Server> {
	const server = createServer();
	server.listen(port, ip);
	await once(server, 'listening');
	return server;
}

function readPort(server: Server): number {
	const address = server.address();
	return typeof address === 'object' && address ? address.port : 0;
}

function pickOctet(min: number, end: number): number {
	return min + Math.floor(Math.random() * (end - min));
}

/** Picks a loopback IP that no program uses by convention. */
function pickLoopbackIp(): string {
	return [
		firstOctet,
		pickOctet(minSecondOctet, octets),
		pickOctet(0, octets),
		pickOctet(1, octets - 1),
	].join('.');
}

/** A loopback IP with free ports on it. */
export type FreeAddresses = {
	readonly ip: string;
	readonly ports: readonly number[];
};

/**
 * Finds a loopback IP on which one given port is free, and further free ports on it.
 *
 * @param fixedPort - the given port
 * @param count - number of further ports
 * @returns the IP and its free ports
 * @throws when no such IP was found
 * @example
 * const {ip, ports} = await findFreeAddresses(9464, 4);
 */
export async function findFreeAddresses(
	fixedPort: number,
	count: number,
): Promise<FreeAddresses> {
	let problem: unknown;
	for (let number = 0; number < maxTries; number++) {
		const ip = pickLoopbackIp();
		const servers: Server[] = [];
		try {
			servers.push(await listen(ip, fixedPort));
			for (let index = 0; index < count; index++) {
				servers.push(await listen(ip, 0));
			}

			const ports = servers.map((server) => readPort(server));
			return {ip, ports: ports.slice(1)};
		} catch (error) {
			problem = error;
		} finally {
			for (const server of servers) {
				server.close();
			}
		}
	}

	throw new Error(`no free loopback address: ${String(problem)}`);
}
