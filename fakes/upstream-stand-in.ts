/**
 * A stand-in for one instance of a team's service: it echoes requests within its slots, counts runs, and announces itself to a node.
 */
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type OutgoingHttpHeaders,
	type Server,
	type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Announcer} from './announcer.js';
import {
	closeServer,
	listenOn,
	parseJson,
	readBody,
	sendJson,
} from './json-http.js';

/**
 * How the stand-in misbehaves. Setting it replaces the earlier behaviour.
 */
export type UpstreamBehaviour = {
	/** The fixed value of the load header, in place of the true load. */
	readonly misleadingLoad?: string;
	/** Added to the service time. */
	readonly delayMs?: number;
	/** Runs answer this status without the service time. */
	readonly errorStatus?: number;
	/** Answers promise more bytes than they send, and the socket is destroyed. */
	readonly truncate?: boolean;
	/** Requests run and are never answered. */
	readonly silent?: boolean;
	/** Each request is shed. */
	readonly shed?: boolean;
};

/**
 * What the stand-in is and where it runs.
 */
export type UpstreamOptions = {
	readonly service: string;
	readonly team: string;
	readonly id: string;
	/** The base URL of the admin listener of the node on the same host. */
	readonly node: string;
	readonly host: string;
	readonly port?: number;
	readonly slots?: number;
	readonly serviceMs?: number;
	readonly connections?: number;
	/** Added to the service time until a first run has ended. */
	readonly coldStartMs?: number;
	readonly dataCentre?: string;
};

/**
 * A running stand-in.
 */
export type Upstream = {
	readonly url: string;
	/** Runs by request id. Requests without an id are under the empty string. */
	readonly runs: ReadonlyMap<string, number>;
	/** Answers sent by status, without those of the health and control routes. */
	readonly answers: ReadonlyMap<number, number>;
	/** Leaves the node, serves what is in flight and closes. */
	stop(): Promise<void>;
	setBehaviour(behaviour: UpstreamBehaviour): void;
};

const quietMs = 200;
const maxDrainMs = 5000;
const pollMs = 20;

/**
 * Starts an upstream stand-in, after one attempt to announce it.
 */
export async function startUpstream(
	options: UpstreamOptions,
): Promise<Upstream> {
	const {slots = 6, connections = 110} = options;
	const server = new UpstreamServer(options, slots);
	const url = await server.listen();
	const announcer = new Announcer(options.node, options.id, {
		team: options.team,
		service: options.service,
		address: new URL(url).host,
		slots,
		connections,
		state: 'ready',
	});
	await announcer.start();
	let stopped: Promise<void> | undefined;
	return {
		url,
		runs: server.runs,
		answers: server.answers,
		async stop() {
			stopped ??= stopUpstream(server, announcer);
			return stopped;
		},
		setBehaviour(behaviour) {
			server.behaviour = behaviour;
		},
	};
}

async function stopUpstream(
	server: UpstreamServer,
	announcer: Announcer,
): Promise<void> {
	await announcer.leave();
	await server.drain();
	await announcer.withdraw();
	await server.close();
}

class UpstreamServer {
	behaviour: UpstreamBehaviour = {};
	readonly runs = new Map<string, number>();
	readonly answers = new Map<number, number>();
	#inFlight = 0;
	#lastBusy = 0;
	#total = 0;
	#cancelled = 0;
	#warm = false;
	#closing = false;
	readonly #server: Server;
	readonly #options: UpstreamOptions;
	readonly #slots: number;

	constructor(options: UpstreamOptions, slots: number) {
		this.#options = options;
		this.#slots = slots;
		this.#server = createServer((request, response) => {
			this.#handle(request, response).catch(() => {
				response.destroy();
			});
		});
		this.#server.keepAliveTimeout = 60_000;
	}

	async listen(): Promise<string> {
		return listenOn(this.#server, this.#options.host, this.#options.port ?? 0);
	}

	async drain(): Promise<void> {
		this.#closing = true;
		const start = performance.now();
		this.#lastBusy = Math.max(this.#lastBusy, start);
		while (
			performance.now() - start < maxDrainMs &&
			(this.#inFlight > 0 || performance.now() - this.#lastBusy < quietMs)
		) {
			await sleep(pollMs);
		}
	}

	async close(): Promise<void> {
		const closed = closeServer(this.#server);
		const cut = setTimeout(() => {
			this.#server.closeAllConnections();
		}, quietMs);
		await closed;
		clearTimeout(cut);
	}

	async #handle(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		switch (`${request.method} ${request.url}`) {
			case 'GET /health': {
				this.#send(response, 200, {
					inFlight: this.#inFlight,
					slots: this.#slots,
				});
				break;
			}

			case 'GET /control/runs': {
				this.#send(response, 200, {
					runs: Object.fromEntries(this.runs),
					total: this.#total,
					cancelled: this.#cancelled,
				});
				break;
			}

			case 'PUT /control/behaviour': {
				await this.#readBehaviour(request, response);
				break;
			}

			default: {
				await this.#admit(request, response);
			}
		}
	}

	async #readBehaviour(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const behaviour = parseJson((await readBody(request))!);
		if (typeof behaviour !== 'object' || !behaviour) {
			this.#send(response, 400, {error: 'bad-behaviour'});
			return;
		}

		this.behaviour = behaviour;
		this.#send(response, 200, {});
	}

	async #admit(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const isFull = this.#inFlight >= this.#slots;
		if (this.behaviour.shed === true || isFull) {
			await readBody(request);
			this.#answer(
				response,
				503,
				{error: 'shed'},
				{'retry-after': '1', 'boragehitch-shed': 'not-run'},
			);
			return;
		}

		this.#inFlight++;
		response.once('close', () => {
			this.#inFlight--;
			this.#lastBusy = performance.now();
		});
		const body = (await readBody(request))!;
		const deadline = request.headers['boragehitch-deadline-ms'];
		if (deadline !== undefined && Number(deadline) <= 0) {
			this.#answer(response, 504, {error: 'deadline-passed'});
			return;
		}

		await this.#serve(request, response, body.length);
	}

	async #serve(
		request: IncomingMessage,
		response: ServerResponse,
		bodyBytes: number,
	): Promise<void> {
		if (!(await this.#work(response))) {
			this.#cancelled++;
			return;
		}

		const {errorStatus, silent, truncate} = this.behaviour;
		const echo = this.#run(request, bodyBytes);
		if (silent) {
			return;
		}

		if (truncate) {
			this.#truncate(response, echo);
		} else {
			this.#answer(response, errorStatus ?? 200, echo);
		}
	}

	/**
	 * Waits for the service time. Returns false if the client left before its end.
	 */
	async #work(response: ServerResponse): Promise<boolean> {
		const {errorStatus, delayMs = 0} = this.behaviour;
		const {serviceMs = 1, coldStartMs = 0} = this.#options;
		const coldMs = this.#warm ? 0 : coldStartMs;
		if (!errorStatus) {
			await waitUnlessClosed(response, serviceMs + delayMs + coldMs);
		}

		return !response.destroyed;
	}

	#run(request: IncomingMessage, bodyBytes: number): unknown {
		const header = request.headers['boragehitch-request-id'];
		const requestId = String(header ?? '');
		const runs = (this.runs.get(requestId) ?? 0) + 1;
		this.runs.set(requestId, runs);
		this.#total++;
		this.#warm = true;
		const {service, id, dataCentre} = this.#options;
		return {
			service,
			upstream: id,
			dataCentre,
			path: request.url,
			method: request.method,
			runs,
			requestId,
			bodyBytes,
		};
	}

	#truncate(response: ServerResponse, body: unknown): void {
		const text = JSON.stringify(body);
		response.writeHead(200, {
			...this.#makeHeaders(),
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(text) + 100,
		});
		response.write(text, () => {
			response.destroy();
		});
	}

	#answer(
		response: ServerResponse,
		status: number,
		body: unknown,
		headers: OutgoingHttpHeaders = {},
	): void {
		if (response.destroyed) {
			return;
		}

		this.answers.set(status, (this.answers.get(status) ?? 0) + 1);
		this.#send(response, status, body, headers);
	}

	#send(
		response: ServerResponse,
		status: number,
		body: unknown,
		headers: OutgoingHttpHeaders = {},
	): void {
		sendJson(response, status, body, {...this.#makeHeaders(), ...headers});
	}

	#makeHeaders(): OutgoingHttpHeaders {
		const load = `${this.#inFlight}/${this.#slots}`;
		return {
			'boragehitch-load': this.behaviour.misleadingLoad ?? load,
			...(this.#closing && {connection: 'close'}),
		};
	}
}

async function waitUnlessClosed(
	response: ServerResponse,
	ms: number,
): Promise<void> {
	await new Promise<void>((resolve) => {
		const finish = (): void => {
			clearTimeout(timer);
			response.off('close', finish);
			resolve();
		};

		const timer = setTimeout(finish, ms);
		response.once('close', finish);
	});
}
