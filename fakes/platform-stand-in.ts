/**
 * A stand-in for the platform's object store: conditional writes, listings and watches over HTTP, with faults on demand.
 */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type Clock, systemClock} from './clock.js';
import {
	closeServer,
	listenOn,
	parseJson,
	readBody,
	sendJson,
} from './json-http.js';
import {ObjectStore, type WriteOutcome} from './object-store.js';
import {
	findCallKind,
	isObjectPath,
	readExpectedVersion,
	readInteger,
	readKey,
	type CallKind,
} from './platform-requests.js';

/**
 * The faults that the stand-in shows. Setting them replaces all earlier ones.
 */
export type PlatformFaults = {
	/** Each data call answers 503 at once, and running watches are destroyed. */
	readonly down?: boolean;
	/** Each data call waits this long first. */
	readonly delayMs?: number;
	/** The next so many writes take effect and get no answer. */
	readonly loseAnswers?: number;
	/** Watches never answer. */
	readonly silentWatches?: boolean;
};

/**
 * The data calls received so far, and the watches that wait now.
 */
export type PlatformCalls = {
	readonly reads: number;
	readonly writes: number;
	readonly watches: number;
	readonly watching: number;
};

/**
 * Where and how the stand-in runs.
 */
export type PlatformOptions = {
	readonly host?: string;
	readonly port?: number;
	readonly clock?: Clock;
};

/**
 * A running stand-in.
 */
export type Platform = {
	readonly url: string;
	/** Answers what is in flight, waiting watches at once and empty, and closes. */
	stop(): Promise<void>;
	setFaults(faults: PlatformFaults): void;
	readCalls(): PlatformCalls;
};

type Watch = {
	readonly response: ServerResponse;
	answerEmpty(): void;
};

const maxBodyBytes = 1024 * 1024;
const maxWaitMs = 30_000;
const defaultLimit = 1000;

/**
 * Starts the platform stand-in.
 */
export async function startPlatform(
	options: PlatformOptions = {},
): Promise<Platform> {
	const server = new PlatformServer(options.clock ?? systemClock);
	const url = await server.listen(
		options.host ?? '127.0.0.1',
		options.port ?? 0,
	);
	return {
		url,
		stop: async () => server.stop(),
		setFaults(faults) {
			server.setFaults(faults);
		},
		readCalls: () => server.readCalls(),
	};
}

class PlatformServer {
	#faults: PlatformFaults = {};
	#answersToLose = 0;
	#stopped: Promise<void> | undefined;
	readonly #calls = {reads: 0, writes: 0, watches: 0};
	readonly #store = new ObjectStore();
	readonly #watches = new Set<Watch>();
	readonly #server: Server;
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#server = createServer((request, response) => {
			this.#handle(request, response).catch(() => {
				response.destroy();
			});
		});
		this.#server.keepAliveTimeout = 60_000;
	}

	async listen(host: string, port: number): Promise<string> {
		return listenOn(this.#server, host, port);
	}

	async stop(): Promise<void> {
		this.#stopped ??= closeServer(this.#server);
		for (const watch of this.#watches) {
			watch.answerEmpty();
		}

		return this.#stopped;
	}

	setFaults(faults: PlatformFaults): void {
		this.#faults = faults;
		this.#answersToLose = faults.loseAnswers ?? 0;
		if (faults.down) {
			for (const watch of this.#watches) {
				watch.response.destroy();
			}
		}
	}

	readCalls(): PlatformCalls {
		return {...this.#calls, watching: this.#watches.size};
	}

	async #handle(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		if (this.#stopped) {
			response.setHeader('connection', 'close');
		}

		const url = new URL(`http://platform${request.url ?? '/'}`);
		const body = await readBody(request, maxBodyBytes);
		if (url.pathname.startsWith('/control/')) {
			this.#handleControl(request, response, url, body);
			return;
		}

		const kind = findCallKind(request.method, url.pathname);
		if (!kind) {
			this.#send(response, 404, {error: 'no-such-route'});
			return;
		}

		this.#calls[kind]++;
		await this.#delay();
		if (response.destroyed && kind !== 'writes') {
			return;
		}

		if (this.#faults.down) {
			this.#send(response, 503, {error: 'down'});
		} else if (kind === 'watches') {
			this.#watch(response, url.searchParams);
		} else if (kind === 'writes') {
			this.#write(request, response, url, body);
		} else {
			this.#read(response, url);
		}
	}

	#handleControl(
		request: IncomingMessage,
		response: ServerResponse,
		url: URL,
		body: Uint8Array | undefined,
	): void {
		const call = `${request.method} ${url.pathname}`;
		if (call === 'GET /control/calls') {
			this.#send(response, 200, this.readCalls());
		} else if (call === 'PUT /control/faults') {
			const faults = body && parseJson(body);
			if (typeof faults !== 'object' || !faults) {
				this.#send(response, 400, {error: 'bad-faults'});
				return;
			}

			this.setFaults(faults);
			this.#send(response, 200, {});
		} else {
			this.#send(response, 404, {error: 'no-such-route'});
		}
	}

	#read(response: ServerResponse, url: URL): void {
		if (url.pathname === '/objects') {
			this.#list(response, url.searchParams);
			return;
		}

		const key = readKey(url);
		const found = key === undefined ? undefined : this.#store.get(key);
		if (key === undefined) {
			this.#send(response, 400, {error: 'bad-key'});
		} else if (found) {
			this.#send(response, 200, found);
		} else {
			this.#send(response, 404, {error: 'not-found'});
		}
	}

	#list(response: ServerResponse, query: URLSearchParams): void {
		const limit = readInteger(query, 'limit', defaultLimit);
		if (limit === undefined) {
			this.#send(response, 400, {error: 'bad-limit'});
			return;
		}

		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		this.#send(response, 200, this.#store.list(prefix, after, limit));
	}

	#write(
		request: IncomingMessage,
		response: ServerResponse,
		url: URL,
		body: Uint8Array | undefined,
	): void {
		const key = readKey(url);
		const expected = readExpectedVersion(request);
		if (!body) {
			this.#send(response, 413, {error: 'too-large'});
		} else if (key === undefined || expected === undefined) {
			this.#send(response, 400, {error: 'bad-key-or-condition'});
		} else if (request.method === 'DELETE') {
			this.#remove(response, key, expected);
		} else {
			this.#put(response, key, expected, body);
		}
	}

	#put(
		response: ServerResponse,
		key: string,
		expected: number,
		body: Uint8Array,
	): void {
		const value = parseJson(body);
		// A stored null could not be told from a removal in a watch.
		if (value === undefined || value === null) {
			this.#send(response, 400, {error: 'bad-value'});
			return;
		}

		this.#answerWrite(response, this.#store.write(key, expected, value));
	}

	#remove(response: ServerResponse, key: string, expected: number): void {
		if (this.#store.get(key)) {
			this.#answerWrite(response, this.#store.remove(key, expected));
		} else {
			this.#send(response, 404, {error: 'not-found'});
		}
	}

	#answerWrite(response: ServerResponse, outcome: WriteOutcome): void {
		const {done, version} = outcome;
		if (!done) {
			this.#send(response, 412, {error: 'conflict', version});
		} else if (this.#answersToLose > 0) {
			this.#answersToLose--;
			response.destroy();
		} else {
			this.#send(response, 200, {version});
		}
	}

	#watch(response: ServerResponse, query: URLSearchParams): void {
		const prefix = query.get('prefix') ?? '';
		const after = readInteger(query, 'after', 0);
		const waitMs = readInteger(query, 'waitMs', maxWaitMs);
		if (after === undefined || waitMs === undefined) {
			this.#send(response, 400, {error: 'bad-number'});
			return;
		}

		const items = this.#store.readChanges(prefix, after);
		if (items?.length === 0 || this.#faults.silentWatches) {
			this.#holdWatch(response, prefix, after, Math.min(waitMs, maxWaitMs));
		} else if (items) {
			this.#send(response, 200, {items, revision: this.#store.revision});
		} else {
			this.#send(response, 410, {error: 'compacted'});
		}
	}

	#holdWatch(
		response: ServerResponse,
		prefix: string,
		after: number,
		waitMs: number,
	): void {
		const answer = (items: unknown[]): void => {
			this.#send(response, 200, {items, revision: this.#store.revision});
		};

		const watch: Watch = {
			response,
			answerEmpty() {
				answer([]);
			},
		};
		if (this.#stopped) {
			watch.answerEmpty();
			return;
		}

		const unsubscribe = this.#store.subscribe((change) => {
			const matches = change.key.startsWith(prefix) && change.version > after;
			if (matches && !this.#faults.silentWatches) {
				answer([change]);
			}
		});
		const cancelTimer = this.#clock.schedule(waitMs, () => {
			if (!this.#faults.silentWatches) {
				watch.answerEmpty();
			}
		});
		this.#watches.add(watch);
		response.once('close', () => {
			unsubscribe();
			cancelTimer();
			this.#watches.delete(watch);
		});
	}

	async #delay(): Promise<void> {
		const {delayMs = 0, down} = this.#faults;
		if (delayMs > 0 && !down) {
			await new Promise<void>((resolve) => {
				this.#clock.schedule(delayMs, resolve);
			});
		}
	}

	#send(response: ServerResponse, status: number, body: unknown): void {
		sendJson(
			response,
			status,
			body,
			this.#stopped ? {connection: 'close'} : {},
		);
	}
}
