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
	sendJsonText,
} from './json-http.js';
import {
	ObjectStore,
	type ObjectPage,
	type StoredObject,
	type WriteOutcome,
} from './object-store.js';
import {
	findCallKind,
	parseCall,
	writtenSchema,
	type DataCall,
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
	/** Answers don't name the era. */
	readonly hidesEra?: boolean;
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
	/** Returns a copy of what is stored. */
	takeCopy(): ObjectStore;
	/** Writes an object, unconditionally, that is sent as the text which `format` returns for its revision, until it is written again. */
	putText(key: string, format: (revision: number) => string): void;
	/** Is away for a moment and comes back from a copy, in the next era; all connections are cut. */
	restore(copy: ObjectStore): void;
	readCalls(): PlatformCalls;
};

type Watch = {
	readonly response: ServerResponse;
	answerEmpty(): void;
};

/** Value of an object that is sent as a given text. */
type TextValue = {readonly sentAs: (revision: number) => string};

function isTextValue(value: unknown): value is TextValue {
	return typeof value === 'object' && value !== null && 'sentAs' in value;
}

const maxBodyBytes = 1024 * 1024;
const maxWaitMs = 30_000;
const pageLimit = 500;

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
		takeCopy: () => server.takeCopy(),
		putText(key, format) {
			server.putText(key, format);
		},
		restore(copy) {
			server.restore(copy);
		},
		readCalls: () => server.readCalls(),
	};
}

function formatObject({key, version, value, status}: StoredObject): string {
	return isTextValue(value)
		? value.sentAs(version)
		: JSON.stringify({
				metadata: {
					name: key.slice(key.indexOf('/') + 1),
					revision: version,
					finalizers: [],
					deleting: false,
				},
				spec: value,
				status: status ?? null,
			});
}

function formatPage({items, more, revision}: ObjectPage): string {
	const texts = items.map((object) => formatObject(object));
	return `{"items":[${texts.join(',')}],"more":${more},"current_rev":${revision}}`;
}

class PlatformServer {
	#faults: PlatformFaults = {};
	#answersToLose = 0;
	#era = 1;
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

	takeCopy(): ObjectStore {
		return this.#store.copy();
	}

	putText(key: string, sentAs: TextValue['sentAs']): void {
		this.#store.write(key, this.#store.get(key)?.version ?? 0, {sentAs});
	}

	restore(copy: ObjectStore): void {
		this.#era++;
		this.#store.restore(copy);
		this.#server.closeAllConnections();
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

		const call = parseCall(request.method, url);
		if (!call) {
			this.#send(response, 404, {error: 'no-such-call'});
			return;
		}

		const kind = findCallKind(call);
		this.#calls[kind]++;
		await this.#delay();
		if (response.destroyed && kind !== 'writes') {
			return;
		}

		if (this.#faults.down) {
			this.#send(response, 503, {error: 'down'});
		} else {
			this.#carryOut(call, response, body);
		}
	}

	#carryOut(
		call: DataCall,
		response: ServerResponse,
		body: Uint8Array | undefined,
	): void {
		switch (call.kind) {
			case 'read': {
				const found = this.#store.get(call.key);
				if (found) {
					this.#sendText(response, 200, formatObject(found));
				} else {
					this.#send(response, 404, {error: 'not-found'});
				}

				break;
			}

			case 'list': {
				const {prefix, after} = call;
				const page = this.#store.list(prefix, after, pageLimit);
				this.#sendText(response, 200, formatPage(page));
				break;
			}

			case 'watch': {
				this.#watch(response, call);
				break;
			}

			case 'create':
			case 'replace': {
				this.#write(response, call, body);
				break;
			}

			case 'status': {
				this.#writeStatus(response, call.key, body);
				break;
			}

			case 'delete': {
				this.#remove(response, call);
				break;
			}
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

	#write(
		response: ServerResponse,
		call: DataCall & {readonly kind: 'create' | 'replace'},
		body: Uint8Array | undefined,
	): void {
		if (!body) {
			this.#send(response, 413, {error: 'too-large'});
			return;
		}

		const written = writtenSchema.safeParse(parseJson(body));
		const {name, revision} = written.data?.metadata ?? {};
		// A stored null could not be told from a removal in a watch.
		const spec = written.data?.spec ?? undefined;
		if (spec === undefined || (call.kind === 'create' && !name)) {
			this.#send(response, 400, {error: 'bad-object'});
			return;
		}

		const key = call.kind === 'create' ? `${call.prefix}${name}` : call.key;
		const known = this.#store.get(key);
		if (call.kind === 'replace' && !known) {
			this.#send(response, 404, {error: 'not-found'});
			return;
		}

		const expected =
			call.kind === 'create' ? 0 : (revision ?? known?.version ?? 0);
		this.#answerWrite(response, key, this.#store.write(key, expected, spec));
	}

	#writeStatus(
		response: ServerResponse,
		key: string,
		body: Uint8Array | undefined,
	): void {
		const written = body && writtenSchema.safeParse(parseJson(body)).data;
		const known = this.#store.get(key);
		if (!written?.status) {
			this.#send(response, 400, {error: 'bad-status'});
		} else if (known) {
			const expected = written.metadata.revision ?? known.version;
			const {value} = known;
			this.#answerWrite(
				response,
				key,
				this.#store.write(key, expected, value, written.status),
			);
		} else {
			this.#send(response, 404, {error: 'not-found'});
		}
	}

	#remove(
		response: ServerResponse,
		{key, revision}: DataCall & {readonly kind: 'delete'},
	): void {
		const known = this.#store.get(key);
		if (known) {
			const outcome = this.#store.remove(key, revision ?? known.version);
			this.#answerWrite(response, key, outcome);
		} else {
			this.#send(response, 404, {error: 'not-found'});
		}
	}

	#answerWrite(
		response: ServerResponse,
		key: string,
		{done, version}: WriteOutcome,
	): void {
		const object = this.#store.get(key);
		const answer = object
			? formatObject(object)
			: JSON.stringify({metadata: {revision: version}});
		if (!done) {
			this.#sendText(response, 409, answer);
		} else if (this.#answersToLose > 0) {
			this.#answersToLose--;
			response.destroy();
		} else {
			this.#sendText(response, 200, answer);
		}
	}

	#watch(
		response: ServerResponse,
		call: DataCall & {readonly kind: 'watch'},
	): void {
		const changes = this.#store.readChanges(call.prefix, call.revision);
		if (changes?.length === 0 || this.#faults.silentWatches) {
			this.#holdWatch(response, call);
		} else if (changes) {
			this.#sendText(response, 200, this.#formatEvents(changes));
		} else {
			this.#send(response, 410, {error: 'compacted'});
		}
	}

	#formatEvents(changes: readonly StoredObject[]): string {
		const texts = changes.map(
			(change) =>
				`{"object":${formatObject(change)},"deleted":${change.value === null}}`,
		);
		return `{"events":[${texts.join(',')}],"current_rev":${this.#store.revision}}`;
	}

	#holdWatch(
		response: ServerResponse,
		call: DataCall & {readonly kind: 'watch'},
	): void {
		const {prefix, revision} = call;
		const waitMs = Math.min(call.waitMs, maxWaitMs);
		const answer = (changes: readonly StoredObject[]): void => {
			this.#sendText(response, 200, this.#formatEvents(changes));
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
			const matches =
				change.key.startsWith(prefix) && change.version > revision;
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
		this.#sendText(response, status, JSON.stringify(body));
	}

	#sendText(response: ServerResponse, status: number, text: string): void {
		sendJsonText(response, status, text, {
			...(!this.#faults.hidesEra && {'store-era': String(this.#era)}),
			...(this.#stopped && {connection: 'close'}),
		});
	}
}
