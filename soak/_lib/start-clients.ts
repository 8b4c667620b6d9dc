import {Agent, request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ClientRecord, History} from './history.js';
import {sendPipelined, type PipelinedResponse} from './send-pipelined.js';

/** Options of `startClients`. */
export type ClientsOptions = {
	readonly host: string;
	/** Where the node takes requests. */
	readonly address: string;
	/** Number of clients that send one request at a time, each on a connection of its own; one more client pipelines. */
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

/** Number of requests that a client which pipelines sends at once. */
const pipelinedCount = 4;

/** Which of its connections such a client leaves early. */
const leaveEvery = 5;

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

function formatLookup(id: string, isLast: boolean): string {
	return [
		`GET ${lookup.path} HTTP/1.1`,
		'host: prices.example',
		`x-boragehitch-request-id: ${id}`,
		`x-boragehitch-deadline-ms: ${deadlineMs}`,
		...(isLast ? ['connection: close'] : []),
		'\r\n',
	].join('\r\n');
}

function readOutcome(response: PipelinedResponse | undefined): Outcome {
	if (!response) {
		return noAnswer;
	}

	const [head = '', rest = ''] = response.text.split('\r\n\r\n', 2);
	const [, ...lines] = head.split('\r\n');
	const headers = new Headers(
		lines.map((line): [string, string] => {
			const [name = '', ...value] = line.split(':');
			return [name, value.join(':')];
		}),
	);
	return {
		status: Number(head.split(' ')[1]),
		// The body may come in chunks with their lengths.
		body: /ran [\w.\-]+/v.exec(rest)?.[0] ?? rest,
		tellsLeaving: headers.get('server-leaving') === '1',
		isSigned: headers.has(signatureName),
		answeredId: headers.get('x-boragehitch-request-id') ?? undefined,
	};
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

	/** Sends several lookups at once, each time on a new connection. */
	async function runPipeliningClient(): Promise<void> {
		for (let round = 1; !stopping.signal.aborted; round++) {
			const ids = Array.from(
				{length: pipelinedCount},
				(_, index) => `${host}.p${index}.${round}`,
			);
			const isLeaving = round % leaveEvery === 0;
			const sentAt = now();
			const responses = await sendPipelined(
				ids.map((id) => formatLookup(id, id === ids.at(-1))),
				{
					address: options.address,
					now,
					patienceMs,
					leavesAfterMs: isLeaving ? round % pauseMs : undefined,
				},
			);
			// A client that has left is owed nothing.
			for (const [index, id] of isLeaving ? [] : ids.entries()) {
				const response = responses[index];
				history.clients.push({
					id,
					host,
					repeatable: true,
					bytes: 0,
					sentAt,
					endedAt: response?.receivedAt ?? now(),
					expiresAt: sentAt + Math.min(deadlineMs, lookup.timeoutMs),
					...readOutcome(response),
				});
			}

			await sleep(pauseMs * pipelinedCount);
		}
	}

	const clients = [
		...Array.from({length: options.count}, async (_, index) =>
			runClient(index),
		),
		runPipeliningClient(),
	];
	return {
		async stop() {
			stopping.abort();
			await Promise.all(clients);
		},
	};
}
