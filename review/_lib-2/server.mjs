/* eslint-disable camelcase, no-void -- names on the wire, and flags that callbacks change */
/**
 * A stand-in for an application server: runs requests, records each run, and
 * sends heartbeats to the node on its machine.
 */
import {Buffer} from 'node:buffer';
import {createServer, request as sendRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen, readBody} from './http.mjs';

async function post(address, path, body) {
	const [host, port] = address.split(':');
	const text = JSON.stringify(body);
	return new Promise((resolve) => {
		const sent = sendRequest(
			{
				host,
				port,
				path,
				method: 'POST',
				agent: false,
				headers: {
					'content-type': 'application/json',
					'content-length': Buffer.byteLength(text),
				},
			},
			(response) => {
				response.resume();
				response.on('end', () => {
					resolve(response.statusCode);
				});
			},
		);
		sent.setTimeout(1000, () => {
			sent.destroy(new Error('no response'));
		});
		sent.on('error', () => {
			resolve(0);
		});
		sent.end(text);
	});
}

/**
 * Sends the heartbeat of a server; resolves with the status of the response.
 */
export async function sendHeartbeat(control, id, body) {
	return post(control, `/instances/${id}/heartbeat`, body);
}

/**
 * Starts a server.
 *
 * @param options - `host`, `id`, `service`, `zone`, `control` (address of the
 * node), `slots`, `workMs(run)`, `bodyBytes(run)`, `breaksOff(run)`, `onRun(run)`
 * @returns the running server
 */
export async function startServer(options) {
	const {host, id, service, zone, control, slots = 6} = options;
	const {workMs = () => 50, bodyBytes = () => 200} = options;
	const {breaksOff = () => false} = options;
	let state = 'ready';
	let sequence = 0;
	let running = 0;
	const queue = [];

	const leavingHeaders = () =>
		state === 'ready' ? {} : {'server-leaving': '1'};

	async function takeSlot() {
		if (running < slots) {
			running++;
			return;
		}

		await new Promise((resolve) => {
			queue.push(resolve);
		});
	}

	function releaseSlot() {
		const next = queue.shift();
		if (next) {
			next();
		} else {
			running--;
		}
	}

	async function handle(request, response) {
		const body = await readBody(request);
		const load = `${running},${queue.length},${slots}`;
		if (request.url === '/health') {
			response.writeHead(state === 'ready' ? 200 : 503, {
				...leavingHeaders(),
				'x-boragehitch-instance-id': id,
				'x-boragehitch-server-load': load,
				'content-length': 0,
			});
			response.end();
			return;
		}

		const requestId = request.headers['x-boragehitch-request-id'];
		const expected = request.headers['x-boragehitch-expected-instance'];
		if (expected !== undefined && expected !== id) {
			response.writeHead(421, {
				'x-boragehitch-instance-id': id,
				'x-boragehitch-request-id': requestId,
				'content-length': 0,
			});
			response.end();
			return;
		}

		const run = {
			id: requestId,
			server: id,
			method: request.method,
			path: request.url,
			headers: request.headers,
			body,
			at: performance.now(),
			isDropped: false,
		};
		response.on('close', () => {
			run.isDropped ||= !response.writableFinished;
		});
		await takeSlot();
		if (run.isDropped) {
			releaseSlot();
			return;
		}

		options.onRun?.(run);
		await sleep(workMs(run));
		const bytes = Buffer.alloc(bodyBytes(run), 'x');
		run.endedAt = performance.now();
		releaseSlot();
		response.writeHead(200, {
			...leavingHeaders(),
			'x-boragehitch-request-id': requestId,
			'x-boragehitch-response-signature': `signed.${requestId}`,
			'x-boragehitch-server-load': `${running},${queue.length},${slots}`,
			'content-length': bytes.length,
		});
		if (breaksOff(run)) {
			response.write(bytes.subarray(0, bytes.length / 2), () => {
				response.destroy();
			});
			return;
		}

		response.end(bytes);
	}

	const server = createServer((request, response) => {
		handle(request, response).catch(() => {
			response.destroy();
		});
	});
	server.keepAliveTimeout = 10_000;
	const address = await listen(server, host);
	const born = Date.now();

	function createHeartbeat() {
		sequence++;
		return {
			address,
			born,
			info: {service, version: 'v1', zone, slots},
			status: {state, sequence, cold_remaining_s: 0},
		};
	}

	async function beat() {
		return sendHeartbeat(control, id, createHeartbeat());
	}

	const timer = setInterval(() => {
		void beat();
	}, 1500);
	return {
		address,
		beat,
		createHeartbeat,
		/** Says that the server leaves; resolves with the status of the response. */
		async leave() {
			state = 'draining';
			return beat();
		},
		/** Deregisters; resolves with the status of the response. */
		async deregister() {
			clearInterval(timer);
			state = 'draining';
			return post(control, `/instances/${id}/deregister`, {});
		},
		stop() {
			clearInterval(timer);
			server.close();
			server.closeAllConnections();
		},
	};
}
