/**
 * Runs a plain forwarder of two hops: the base against which the processor time
 * of a request is measured. `node start-two-hop.js IP:PORT NEXT_IP:PORT`, with
 * one such pair of addresses for each direction.
 */
import {Agent, createServer, request as startRequest} from 'node:http';
import process from 'node:process';

/** Header that names the last hop of a request. */
const lastHopHeader = 'x-last-hop';

const agent = new Agent({keepAlive: true});

function startForwarding(listenAddress: string, nextAddress: string): void {
	const [host, port] = listenAddress.split(':');
	const [nextHost, nextPort] = nextAddress.split(':');
	const server = createServer((incoming, response) => {
		const forwarded = startRequest(
			{
				agent,
				host: nextHost,
				port: nextPort,
				method: incoming.method,
				path: incoming.url,
				headers: {...incoming.headers, [lastHopHeader]: listenAddress},
			},
			(answer) => {
				response.writeHead(answer.statusCode!, answer.headers);
				answer.pipe(response);
			},
		);
		forwarded.on('error', () => {
			response.destroy();
		});
		incoming.pipe(forwarded);
	});
	server.listen(Number(port), host);
}

const addresses = process.argv.slice(2);
for (let index = 0; index + 1 < addresses.length; index += 2) {
	startForwarding(addresses[index]!, addresses[index + 1]!);
}
