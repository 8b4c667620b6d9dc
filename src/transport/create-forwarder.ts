import {Agent} from 'node:http';
import {createTRPCClient, httpLink} from '@trpc/client';
import type {LedgerStep} from '../coordination/step-ledger-record.js';
import type {
	Attempt,
	AttemptQuery,
	ForwardResult,
} from '../protocol/attempt.js';
import type {CancelSignal} from '../protocol/cancel-signal.js';
import {askTimeoutMs} from '../protocol/constants.js';
import type {GateStamp} from '../protocol/stamp.js';
import {attemptHeader, deadlineHeader} from '../protocol/request.js';
import {createAttemptHeaders} from './_lib/create-attempt-headers.js';
import {adaptFetch, createPeerFetch} from './_lib/create-peer-fetch.js';
import {createPooledAgent} from './_lib/create-pooled-agent.js';
import {readGateOutcome} from './_lib/read-gate-outcome.js';
import {selectBody} from './_lib/select-body.js';
import {
	sendRequest,
	type SendOutcome,
	type SentRequest,
} from './_lib/send-request.js';
import type {PeerRouter} from './create-peer-router.js';

/** Sends attempts to the gates of other hosts. */
export type Forwarder = {
	forwardAttempt(address: string, attempt: Attempt): Promise<ForwardResult>;
	/** Asks a gate, on a new connection, what became of an attempt. */
	ask(
		address: string,
		question: AttemptQuery,
	): Promise<LedgerStep['answer'] | 'failed'>;
	/** Fetches an attempt's answer, on a new connection; waits while it runs. */
	fetchAnswer(
		address: string,
		id: string,
		remainingMs: number,
		signal: CancelSignal,
	): Promise<ForwardResult>;
	/** Gets a stamp of a gate; undefined when it cannot be reached. */
	readStamp(address: string): Promise<GateStamp | undefined>;
	/** Tells a gate, on a new connection, that nobody wants an answer. */
	cancel(address: string, question: AttemptQuery): Promise<void>;
	stop(): Promise<void>;
};

/** Path prefix under which a gate takes forwarded attempts. */
export const gatePrefix = '/gate';

/** Path under which a gate gives the answers of attempts. */
export const answersPath = '/answers';

/** Open connections of a caller's node to one gate. */
const maxGateConnections = 64;

async function awaitOutcome(
	sent: SentRequest,
	signal: CancelSignal,
): Promise<SendOutcome> {
	const abort = (): void => {
		sent.abort();
	};

	signal.addEventListener('abort', abort, {once: true});
	if (signal.aborted) {
		abort();
	}

	return sent.outcome;
}

function createClient(agent: Agent, address: string) {
	return createTRPCClient<PeerRouter>({
		links: [
			httpLink({
				url: `http://${address}/trpc`,
				fetch: adaptFetch(createPeerFetch(address, () => agent)),
			}),
		],
	});
}

/**
 * Creates the forwarder of a caller's node.
 *
 * Attempts use pooled connections, none of which has been idle for longer than
 * `idleConnectionMs`. Questions and fetches each use a new connection, since a
 * pooled one may have fallen silent.
 *
 * @returns the forwarder
 * @example
 * await createForwarder().forwardAttempt('127.0.0.1:8081', attempt);
 */
export function createForwarder(): Forwarder {
	const agent = createPooledAgent({maxSockets: maxGateConnections});
	const freshAgent = new Agent({keepAlive: false});

	return {
		async forwardAttempt(address, attempt) {
			const headers = createAttemptHeaders(attempt);
			const sent = sendRequest(
				{
					method: attempt.method,
					path: gatePrefix + attempt.path,
					headers,
					body: selectBody(attempt.body, headers),
				},
				{
					agent,
					address,
					// A gate answers each attempt once.
					areResponsesIdentified: true,
					onSend: attempt.onSend,
					onInterim: attempt.onKeepalive,
				},
			);
			return readGateOutcome(await awaitOutcome(sent, attempt.signal));
		},
		async ask(address, question) {
			try {
				return await createClient(freshAgent, address).ask.mutate(question, {
					signal: AbortSignal.timeout(askTimeoutMs),
				});
			} catch {
				return 'failed';
			}
		},
		async fetchAnswer(address, id, remainingMs, signal) {
			const headers = {
				[attemptHeader]: id,
				[deadlineHeader]: String(Math.floor(remainingMs)),
			};
			const sent = sendRequest(
				{method: 'GET', path: answersPath, headers},
				{agent: freshAgent, address, areResponsesIdentified: true},
			);
			const outcome = await awaitOutcome(sent, signal);
			// A fetch that was not sent tells nothing of the attempt.
			return outcome.kind === 'not-sent'
				? {kind: 'lost', reason: 'gate-unreachable'}
				: readGateOutcome(outcome);
		},
		async readStamp(address) {
			try {
				return await createClient(freshAgent, address).stamp.mutate(undefined, {
					signal: AbortSignal.timeout(askTimeoutMs),
				});
			} catch {
				return undefined;
			}
		},
		async cancel(address, question) {
			try {
				await createClient(freshAgent, address).cancel.mutate(question, {
					signal: AbortSignal.timeout(askTimeoutMs),
				});
			} catch {
				// The attempt ends at its deadline.
			}
		},
		async stop() {
			agent.destroy();
			freshAgent.destroy();
		},
	};
}
