/**
 * Upstream process that calls on: each call waits its service time and then
 * calls the next service, through its own node or directly, to a given depth.
 */
import process from 'node:process';
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {Agent, request as sendRequest} from 'undici';
import {Announcer} from '../../fakes/announcer.js';
import {closeServer, listenOn, sendJson} from '../../fakes/json-http.js';
import {
	deadlineHeader,
	depthHeader,
	outcomeHeader,
} from '../../src/protocol/request.js';
import {benchDepthHeader, benchModeHeader} from './chain-headers.js';

const {values} = parseArgs({
	options: {
		service: {type: 'string', default: ''},
		team: {type: 'string', default: 'bench'},
		id: {type: 'string', default: ''},
		node: {type: 'string', default: ''},
		slots: {type: 'string', default: '6'},
		'service-ms': {type: 'string', default: '1'},
		'next-node': {type: 'string', default: ''},
		'next-direct': {type: 'string', default: ''},
	},
});
const serviceMs = Number(values['service-ms']);
const directUrls = values['next-direct'].split(',').filter(Boolean);
const agent = new Agent({pipelining: 1, connections: 64});
const padding = 'x'.repeat(400);
let runs = 0;
let turn = 0;

async function callNext(
	request: IncomingMessage,
	depth: number,
): Promise<number> {
	const isDirect = request.headers[benchModeHeader] === 'direct';
	const url = isDirect
		? directUrls[turn++ % directUrls.length]!
		: values['next-node'];
	const {statusCode, body} = await sendRequest(url, {
		dispatcher: agent,
		headers: {
			[benchModeHeader]: isDirect ? 'direct' : 'mesh',
			[benchDepthHeader]: String(depth),
			[depthHeader]: String(Number(request.headers[depthHeader] ?? 0) + 1),
			...(request.headers[deadlineHeader] && {
				[deadlineHeader]: String(request.headers[deadlineHeader]),
			}),
		},
	});
	await body.arrayBuffer();
	return statusCode;
}

async function serve(
	request: IncomingMessage,
	response: ServerResponse,
): Promise<void> {
	runs++;
	if (serviceMs > 0) {
		await delay(serviceMs);
	}

	const depth = Number(request.headers[benchDepthHeader] ?? 1);
	const status = depth > 1 ? await callNext(request, depth - 1) : 200;
	sendJson(
		response,
		status,
		{service: values.service, padding},
		status === 200 ? {} : {[outcomeHeader]: 'unknown'},
	);
}

const server = createServer((request, response) => {
	if (request.url === '/control/runs') {
		sendJson(response, 200, {total: runs});
		return;
	}

	request.resume();
	serve(request, response).catch(() => {
		response.destroy();
	});
});
server.keepAliveTimeout = 60_000;
const url = await listenOn(server, '127.0.0.1', 0);
const announcer = new Announcer(values.node, values.id, {
	team: values.team,
	service: values.service,
	address: new URL(url).host,
	slots: Number(values.slots),
	connections: 110,
	state: 'ready',
});
await announcer.start();
console.log(JSON.stringify({url}));

async function stop(): Promise<void> {
	await announcer.withdraw();
	server.closeIdleConnections();
	await closeServer(server);
	await agent.destroy();
}

process.once('SIGTERM', () => {
	void stop();
});
