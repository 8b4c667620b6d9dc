import {Agent} from 'node:http';
import {createTRPCClient, httpLink} from '@trpc/client';
import {isBehind} from '../coordination/is-behind.js';
import type {LedgerStep} from '../coordination/step-ledger-record.js';
import type {
	Attempt,
	AttemptQuery,
	ForwardResult,
} from '../protocol/attempt.js';
import type {CancelSignal} from '../protocol/cancel-signal.js';
import {askTimeoutMs, retryAfterSeconds} from '../protocol/constants.js';
import type {GateStamp} from '../protocol/stamp.js';
import {
	attemptHeader,
	deadlineHeader,
	reasonHeader,
} from '../protocol/request.js';
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

/** Options of `createForwarder`. */
export type ForwarderOptions = {
	/** Monotonic time, ms, on which attempts expire; default `performance.now`. */
	readonly now?: () => number;
	/** Called when Node.js refuses to send an attempt to a gate, with the gate's address and the reason. */
	readonly onRefused?: (address: string, reason: string) => void;
	/** Returns the longest time for which what the node reads next may have waited, ms; default 0. */
	readonly readMaxWait?: () => number;
};

/** Client of the gates on other hosts. */
export type Forwarder = {
	/** Sends an attempt to a gate, unless it expires while it waits for a connection. */
	forwardAttempt(address: string, attempt: Attempt): Promise<ForwardResult>;
	/** Queries the outcome of an attempt from its gate, on a new connection; returns `failed` when the call fails. */
	ask(
		address: string,
		query: AttemptQuery,
	): Promise<LedgerStep['answer'] | 'failed'>;
	/** Fetches the response of an attempt, on a new connection; waits while the attempt runs. */
	fetchAnswer(
		address: string,
		id: string,
		remainingMs: number,
		signal: CancelSignal,
	): Promise<ForwardResult>;
	/** Reads the current stamp of a gate; undefined when the call fails. */
	readStamp(address: string): Promise<GateStamp | undefined>;
	/** Cancels an attempt at its gate, on a new connection; ignores failures. */
	cancel(address: string, query: AttemptQuery): Promise<void>;
	stop(): Promise<void>;
};

/** Path prefix of forwarded attempts. */
export const gatePrefix = '/gate';

/** Path under which a gate serves the responses of attempts. */
export const answersPath = '/answers';

/** Result of an attempt whose time ended before it was sent. */
const expiredResult: ForwardResult = {
	kind: 'not-run',
	reason: 'deadline',
	retryAfterSeconds,
	load: undefined,
	stamp: undefined,
};

/** Maximum number of connections from a caller's node to one gate. */
const maxGateConnections = 64;

async function waitForOutcome(
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
 * Attempts use pooled connections, which are closed after `idleConnectionMs`
 * without use. Queries and fetches each open a new connection, since a pooled
 * connection may have stopped responding.
 *
 * @param options - see `ForwarderOptions`
 * @returns the forwarder
 * @example
 * await createForwarder().forwardAttempt('127.0.0.1:8081', attempt);
 */
export function createForwarder(options: ForwarderOptions = {}): Forwarder {
	const {now = () => performance.now(), readMaxWait = () => 0} = options;
	const agent = createPooledAgent({maxSockets: maxGateConnections});
	const unpooledAgent = new Agent({keepAlive: false});

	function reportRefusal(address: string, outcome: SendOutcome): void {
		if (outcome.kind === 'not-sent' && outcome.refusal !== undefined) {
			options.onRefused?.(address, outcome.refusal);
		}
	}

	return {
		async forwardAttempt(address, attempt) {
			const {expiresAt = Number.POSITIVE_INFINITY} = attempt;
			const headers = createAttemptHeaders(attempt);
			let hasExpired = false;
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
					// A gate responds to each attempt once.
					areResponsesIdentified: true,
					isBehind: () => isBehind(readMaxWait()),
					prepareSend() {
						hasExpired = now() >= expiresAt;
						return hasExpired ? undefined : {};
					},
					onSend: attempt.onSend,
					onInterim({headers: interim}) {
						attempt.onKeepalive?.();
						if (interim[reasonHeader] === 'unanswered') {
							attempt.onUnanswered?.();
						}
					},
				},
			);
			const outcome = await waitForOutcome(sent, attempt.signal);
			reportRefusal(address, outcome);
			return hasExpired ? expiredResult : readGateOutcome(outcome);
		},
		async ask(address, query) {
			try {
				return await createClient(unpooledAgent, address).ask.mutate(query, {
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
				{agent: unpooledAgent, address, areResponsesIdentified: true},
			);
			const outcome = await waitForOutcome(sent, signal);
			reportRefusal(address, outcome);
			// A fetch that was not sent says nothing about the outcome of the attempt.
			return outcome.kind === 'not-sent'
				? {kind: 'lost', reason: 'gate-unreachable'}
				: readGateOutcome(outcome);
		},
		async readStamp(address) {
			try {
				return await createClient(unpooledAgent, address).stamp.mutate(
					undefined,
					{
						signal: AbortSignal.timeout(askTimeoutMs),
					},
				);
			} catch {
				return undefined;
			}
		},
		async cancel(address, query) {
			try {
				await createClient(unpooledAgent, address).cancel.mutate(query, {
					signal: AbortSignal.timeout(askTimeoutMs),
				});
			} catch {
				// Without a cancellation, the attempt ends at its deadline.
			}
		},
		async stop() {
			agent.destroy();
			unpooledAgent.destroy();
		},
	};
}
