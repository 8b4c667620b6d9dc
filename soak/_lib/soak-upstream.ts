import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {finished} from 'node:stream/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {closeServer, listenOn} from '../../fakes/json-http.js';
import type {History} from './history.js';

/** How an upstream misbehaves. */
export type UpstreamFault =
	| {readonly kind: 'none'}
	| {readonly kind: 'slow'; readonly serviceMs: number}
	/** Connections are reset instead of answered, after the run. */
	| {readonly kind: 'lose-answers'}
	/** Each answer comes a second time, late. */
	| {readonly kind: 'repeat-answers'}
	/** A refusal that names no request precedes each answer. */
	| {readonly kind: 'stray-refusals'}
	/** Other bytes follow each answer. */
	| {readonly kind: 'garble'}
	/** Requests beyond the slots are dropped without a word, and all that follow on their connections. */
	| {readonly kind: 'silent'; readonly slots: number}
	| {readonly kind: 'limit'; readonly perSecond: number}
	| {readonly kind: 'leave'};

/** Whether the load in an answer counts the request that is answered; `last-only` counts it if no other one runs. */
export type LoadReport = 'with-answered' | 'without-answered' | 'last-only';

/** A server beside a node. */
export type SoakUpstream = {
	setFault(fault: UpstreamFault): void;
	/** Begins a new life under a new identifier. */
	restart(): void;
	stop(): Promise<void>;
};

/** Options of `startSoakUpstream`. */
export type SoakUpstreamOptions = {
	readonly host: string;
	readonly port: number;
	/** Address that is announced. */
	readonly address: string;
	/** Where it announces itself. */
	readonly control: string;
	readonly loadReport: LoadReport;
	/** Returns how long it works on a request, ms. */
	readonly readServiceTime: (id: string) => number;
	readonly history: History;
	/** Monotonic ms. */
	readonly now: () => number;
};

const slots = 6;
const heartbeatMs = 500;
const repeatAfterMs = 60;

/** A refusal that belongs to no request. */
const strayRefusal = [
	'HTTP/1.1 503 Service Unavailable',
	'x-boragehitch-not-executed: 1',
	'content-length: 0',
	'\r\n',
].join('\r\n');

/** Reads the body of a request to its end, or to where it is cut. */
async function readBody(
	request: IncomingMessage,
): Promise<{readonly bytes: number; readonly isWhole: boolean}> {
	let bytes = 0;
	request.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
	});
	try {
		await finished(request);
	} catch {
		return {bytes, isWhole: false};
	}

	return {bytes, isWhole: request.complete};
}

function createRefusal(id: string): Record<string, string> {
	return {
		'x-boragehitch-not-executed': '1',
		'x-boragehitch-request-id': id,
	};
}

/** Starts a server of the platform that can misbehave. */
export async function startSoakUpstream(
	options: SoakUpstreamOptions,
): Promise<SoakUpstream> {
	const {history, now} = options;
	let fault: UpstreamFault = {kind: 'none'};
	let life = 0;
	let born = Date.now();
	let sequence = 0;
	let statedAt: number | undefined;

	function readId(): string {
		return `i-${options.host}-${life}`;
	}

	function endStatement(): void {
		const from = statedAt;
		statedAt = undefined;
		if (from === undefined) {
			return;
		}

		const statement =
			fault.kind === 'limit'
				? ({kind: 'limit', perSecond: fault.perSecond} as const)
				: ({kind: 'leaving'} as const);
		history.statements.push({
			upstream: readId(),
			statement,
			from,
			until: now(),
		});
	}

	/** Formats the load; `answered` requests of those that run are being answered. */
	function formatLoad(answered: number): string {
		return `${countRunning(answered)},0,${slots}`;
	}

	function countRunning(answered: number): number {
		switch (options.loadReport) {
			case 'with-answered': {
				return running;
			}

			case 'without-answered': {
				return running - answered;
			}

			case 'last-only': {
				return Math.max(1, running - answered);
			}
		}
	}

	function createHeaders(id: string, answered = 0): Record<string, string> {
		const headers: Record<string, string> = {
			'x-boragehitch-request-id': id,
			'x-boragehitch-response-signature': 'signed',
			'x-boragehitch-server-load': formatLoad(answered),
		};
		if (fault.kind === 'limit') {
			headers['server-limit'] = String(fault.perSecond);
			statedAt ??= now();
		} else if (fault.kind === 'leave') {
			headers['server-leaving'] = '1';
			statedAt ??= now();
		}

		return headers;
	}

	function answer(
		response: ServerResponse,
		id: string,
		isComplete: boolean,
	): void {
		if (!isComplete) {
			response.writeHead(504, createHeaders(id, 1));
			response.end();
			return;
		}

		const body = `ran ${id}`;
		const headers = createHeaders(id, 1);
		const {socket} = response;
		switch (fault.kind) {
			case 'lose-answers': {
				socket?.resetAndDestroy();
				return;
			}

			case 'garble': {
				response.writeHead(200, {...headers, 'content-length': body.length});
				response.end(body);
				socket?.write('hello\r\n\r\n');
				return;
			}

			case 'repeat-answers': {
				response.writeHead(200, {...headers, 'content-length': body.length});
				response.end(body);
				setTimeout(() => {
					const lines = Object.entries(headers).map(
						([name, value]) => `${name}: ${value}\r\n`,
					);
					socket?.write(
						`HTTP/1.1 200 OK\r\n${lines.join('')}content-length: ${body.length}\r\n\r\n${body}`,
					);
				}, repeatAfterMs);
				return;
			}

			case 'stray-refusals': {
				socket?.write(strayRefusal);
				response.writeHead(200, headers);
				response.end(body);
				return;
			}

			case 'none':
			case 'slow':
			case 'silent':
			case 'limit':
			case 'leave': {
				response.writeHead(200, headers);
				response.end(body);
			}
		}
	}

	/** Drops a request without a word if there is no room; its connection stays dead. */
	function dropWhenFull({socket}: IncomingMessage): boolean {
		const isFull = fault.kind === 'silent' && running >= fault.slots;
		if (isFull) {
			dead.add(socket);
		}

		return dead.has(socket);
	}

	const dead = new WeakSet<Socket>();
	let running = 0;

	async function handle(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const {headers} = request;
		const {bytes, isWhole} = await readBody(request);
		if (!isWhole || dropWhenFull(request)) {
			return;
		}

		const id = headers['x-boragehitch-request-id']?.toString();
		const expected = headers['x-boragehitch-expected-instance'];
		if (id === undefined) {
			response.writeHead(fault.kind === 'leave' ? 503 : 200, {
				...createHeaders(''),
				'x-boragehitch-instance-id': readId(),
			});
			response.end();
			return;
		}

		if (expected !== undefined && expected !== readId()) {
			response.writeHead(421, createRefusal(id));
			response.end();
			return;
		}

		const isFull = running >= slots;
		const serviceMs =
			fault.kind === 'slow' ? fault.serviceMs : options.readServiceTime(id);
		const deadlineMs = Number(
			headers['x-boragehitch-deadline-ms'] ?? Number.POSITIVE_INFINITY,
		);
		const workMs = Math.min(serviceMs, deadlineMs);
		const at = now();
		const record = {
			id,
			upstream: readId(),
			at,
			hasRun: !isFull,
			completesAt: at + workMs,
			bytes,
		};
		history.upstreams.push(record);
		if (isFull) {
			response.writeHead(503, createRefusal(id));
			response.end();
			return;
		}

		running++;
		const startedIn = life;
		void sleep(workMs).then(() => {
			if (life === startedIn) {
				answer(response, id, serviceMs <= deadlineMs);
			} else {
				response.destroy();
			}

			running--;
		});
	}

	const server = createServer((request, response) => {
		void handle(request, response);
	});
	await listenOn(server, options.host, options.port);

	async function announce(): Promise<void> {
		sequence++;
		const controller = AbortSignal.timeout(1000);
		try {
			await fetch(`http://${options.control}/instances/${readId()}/heartbeat`, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				signal: controller,
				body: JSON.stringify({
					address: options.address,
					born,
					info: {service: 'pricebook', slots},
					status: {state: 'ready', sequence},
				}),
			});
		} catch {
			// The node is away; the next announcement tells it.
		}
	}

	const timer = setInterval(() => {
		void announce();
	}, heartbeatMs);
	return {
		setFault(next) {
			if (fault.kind === 'leave') {
				// It says so until its end.
				return;
			}

			endStatement();
			fault = next;
		},
		restart() {
			endStatement();
			fault = {kind: 'none'};
			life++;
			born = Date.now();
			sequence = 0;
			server.closeAllConnections();
		},
		async stop() {
			endStatement();
			clearInterval(timer);
			server.closeAllConnections();
			await closeServer(server);
		},
	};
}
