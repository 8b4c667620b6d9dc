import {Agent, request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ClientRecord, History} from './history.js';

/** Options of `startClients`. */
export type ClientsOptions = {
	readonly host: string;
	/** Where the node takes requests. */
	readonly address: string;
	readonly history: History;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** The clients of a host. */
export type Clients = {
	/** Stops and waits for the last answers. */
	stop(): Promise<void>;
};

const clientsPerHost = 3;
const pauseMs = 90;
const deadlineMs = 1500;

/** Time after which a client gives up on a connection, ms. */
const patienceMs = 2500;

type Outcome = Pick<
	ClientRecord,
	'status' | 'body' | 'answeredId' | 'tellsLeaving'
>;

const noAnswer: Outcome = {
	status: 0,
	body: '',
	answeredId: undefined,
	tellsLeaving: false,
};

async function send(
	{address}: ClientsOptions,
	id: string,
	repeatable: boolean,
	agent: Agent,
): Promise<Outcome> {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		const sent = request(
			{
				host,
				port,
				agent,
				path: repeatable ? '/prices/lamb' : '/orders/lamb',
				method: repeatable ? 'GET' : 'POST',
				headers: {
					host: 'prices.example',
					'x-boragehitch-request-id': id,
					'x-boragehitch-deadline-ms': String(deadlineMs),
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
		sent.end();
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
			const repeatable = lastId % 3 > 0;
			const sentAt = now();
			const outcome = await send(options, id, repeatable, agent);
			const record = {id, host, repeatable, sentAt, endedAt: now()};
			history.clients.push({...record, ...outcome});
			await sleep(pauseMs);
		}

		agent.destroy();
	}

	const clients = Array.from({length: clientsPerHost}, async (_, index) =>
		runClient(index),
	);
	return {
		async stop() {
			stopping.abort();
			await Promise.all(clients);
		},
	};
}
