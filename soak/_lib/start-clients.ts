import {Agent, request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ClientRecord, History} from './history.js';

/** Options of `startClients`. */
export type ClientsOptions = {
	readonly host: string;
	/** Where the node takes requests. */
	readonly address: string;
	/** Number of clients, each with a connection of its own. */
	readonly count: number;
	readonly history: History;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** The clients of a host. */
export type Clients = {
	/** Stops and waits for the last answers. */
	stop(): Promise<void>;
};

const pauseMs = 90;
const deadlineMs = 1500;

/** Length of an upload; longer than what nodes always hold whole. */
const uploadBytes = 120_000;

/** Which uploads are cut by their clients. */
const cutUploadEvery = 5;

/** Time after which a client gives up on a connection, ms. */
const patienceMs = 2500;

type Outcome = Pick<
	ClientRecord,
	'status' | 'body' | 'answeredId' | 'tellsLeaving' | 'isSigned'
>;

const noAnswer: Outcome = {
	status: 0,
	body: '',
	answeredId: undefined,
	tellsLeaving: false,
	isSigned: false,
};

const signatureName = 'x-boragehitch-response-signature';

const lookup = {
	path: '/prices/lamb',
	method: 'GET',
	bytes: 0,
	timeoutMs: 1000,
} as const;

/** What clients send, in turn, with the timeout of its route. */
const requests = [
	{path: '/orders/lamb', method: 'POST', bytes: 0, timeoutMs: 9000},
	lookup,
	lookup,
	{path: '/photos/flue', method: 'POST', bytes: uploadBytes, timeoutMs: 2000},
	lookup,
	lookup,
] as const;

type SoakRequest = (typeof requests)[number];

async function send(
	{address}: ClientsOptions,
	id: string,
	{path, method, bytes}: SoakRequest,
	agent: Agent,
): Promise<Outcome> {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		const sent = request(
			{
				host,
				port,
				agent,
				path,
				method,
				headers: {
					host: 'prices.example',
					'x-boragehitch-request-id': id,
					'x-boragehitch-deadline-ms': String(deadlineMs),
					...(bytes > 0 && {'content-length': bytes}),
				},
			},
			(answer) => {
				const chunks: string[] = [];
				answer.setEncoding('utf8');
				answer.on('data', (chunk) => {
					chunks.push(String(chunk));
				});
				answer.on('end', () => {
					resolve({
						status: answer.statusCode ?? 0,
						body: chunks.join(''),
						tellsLeaving: answer.headers['server-leaving'] === '1',
						isSigned: signatureName in answer.headers,
						answeredId: answer.headers['x-boragehitch-request-id']?.toString(),
					});
				});
				answer.on('error', () => {
					resolve(noAnswer);
				});
			},
		);
		sent.setTimeout(patienceMs, () => {
			sent.destroy();
		});
		sent.on('error', () => {
			resolve(noAnswer);
		});
		if (bytes > 0 && Number(id.split('.').at(-1)) % cutUploadEvery === 0) {
			// The client leaves in the middle of its upload.
			sent.write(new Uint8Array(bytes / 2));
			setTimeout(() => {
				sent.destroy();
			}, pauseMs);
			return;
		}

		sent.end(bytes > 0 ? new Uint8Array(bytes) : undefined);
	});
}

/** Starts the clients of a host; they keep their connections until the node closes them. */
export function startClients(options: ClientsOptions): Clients {
	const {host, history, now} = options;
	const stopping = new AbortController();
	let lastId = 0;

	async function runClient(index: number): Promise<void> {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		while (!stopping.signal.aborted) {
			lastId++;
			const id = `${host}.${index}.${lastId}`;
			const next = requests[lastId % requests.length]!;
			const repeatable = next.method === 'GET';
			const sentAt = now();
			const outcome = await send(options, id, next, agent);
			const {bytes, timeoutMs} = next;
			const expiresAt = sentAt + Math.min(deadlineMs, timeoutMs);
			const endedAt = now();
			const record = {id, host, repeatable, bytes, sentAt, endedAt, expiresAt};
			history.clients.push({...record, ...outcome});
			await sleep(pauseMs);
		}

		agent.destroy();
	}

	const clients = Array.from({length: options.count}, async (_, index) =>
		runClient(index),
	);
	return {
		async stop() {
			stopping.abort();
			await Promise.all(clients);
		},
	};
}
