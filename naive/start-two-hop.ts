/**
 * Runs a plain forwarder of two hops: the base against which the processor time
 * of a request is measured. `node start-two-hop.js IP:PORT NEXT_IP:PORT`.
 */
import {Agent, createServer, request as startRequest} from 'node:http';
import process from 'node:process';

/** Header that names the last hop of a request. */
const lastHopHeader = 'x-last-hop';

const [listenAddress = '', nextAddress = ''] = process.argv.slice(2);
const [host, port] = listenAddress.split(':');
const [nextHost, nextPort] = nextAddress.split(':');
const agent = new Agent({keepAlive: true});

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
