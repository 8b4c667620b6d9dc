import {Agent} from 'undici';
import type {Attempt, AttemptResult} from '../protocol/attempt.js';
import {retryAfterSeconds} from '../protocol/constants.js';
import {
	attemptHeader,
	deadlineHeader,
	loadHeader,
	outcomeHeader,
	reasonHeader,
	repeatableHeader,
	requestIdHeader,
	serviceHeader,
	shedHeader,
	teamHeader,
	traceparentHeader,
	outcomeReasons,
	type OutcomeReason,
} from '../protocol/request.js';
import {copyHeaders} from './_lib/copy-headers.js';
import {parseLoad} from './_lib/format-load.js';
import type {PeerClients} from './create-peer-client.js';

/** Sends attempts to the gates of other hosts. */
export type Forwarder = {
	forwardAttempt(address: string, attempt: Attempt): Promise<AttemptResult>;
	stop(): Promise<void>;
};

/** Path prefix under which a gate takes forwarded attempts. */
export const gatePrefix = '/gate';

const askTimeoutMs = 500;

function parseReason(value: unknown): OutcomeReason {
	return outcomeReasons.find((reason) => reason === value) ?? 'connection-lost';
}

/**
 * Creates the forwarder of a caller's node.
 *
 * When an attempt's connection fails, the gate is asked on another connection
 * what became of the attempt; asking fences one that has not started.
 *
 * @param peers - clients of other nodes, for asking
 * @returns the forwarder
 * @example
 * await createForwarder(peers).forwardAttempt('127.0.0.1:8081', attempt);
 */
export function createForwarder(peers: PeerClients): Forwarder {
	const agent = new Agent({connections: 32, pipelining: 1});

	async function resolveLostAttempt(
		address: string,
		id: string,
	): Promise<AttemptResult> {
		const load = undefined;
		try {
			const answer = await peers
				.getClient(address)
				.ask.mutate({id}, {signal: AbortSignal.timeout(askTimeoutMs)});
			return answer === 'fenced'
				? {kind: 'not-run', reason: 'fenced', retryAfterSeconds, load}
				: {kind: 'unknown', reason: 'connection-lost', retryAfterSeconds, load};
		} catch {
			return {
				kind: 'unknown',
				reason: 'connection-lost',
				retryAfterSeconds,
				load,
			};
		}
	}

	return {
		async forwardAttempt(address, attempt) {
			try {
				const response = await agent.request({
					origin: `http://${address}`,
					method: attempt.method,
					path: `${gatePrefix}${attempt.path}`,
					headers: {
						...copyHeaders(attempt.headers),
						'content-length': undefined,
						...(attempt.traceparent && {
							[traceparentHeader]: attempt.traceparent,
						}),
						[requestIdHeader]: attempt.requestId,
						[attemptHeader]: attempt.id,
						[teamHeader]: attempt.team,
						[serviceHeader]: attempt.service,
						[repeatableHeader]: String(attempt.repeatable),
						[shedHeader]: attempt.sheddingMeansNotRun ? 'not-run' : 'unknown',
						[deadlineHeader]: String(Math.floor(attempt.remainingMs)),
					},
					body: attempt.body.length > 0 ? attempt.body : undefined,
					signal: AbortSignal.any([
						attempt.signal,
						AbortSignal.timeout(Math.ceil(attempt.remainingMs)),
					]),
				});
				const load = parseLoad(response.headers[loadHeader]);
				const outcome = response.headers[outcomeHeader];
				if (outcome === 'not-run' || outcome === 'unknown') {
					await response.body.dump();
					return {
						kind: outcome,
						reason: parseReason(response.headers[reasonHeader]),
						retryAfterSeconds: Number(
							response.headers['retry-after'] ?? retryAfterSeconds,
						),
						load,
					};
				}

				return {
					kind: 'answered',
					status: response.statusCode,
					headers: response.headers,
					body: response.body,
					load,
				};
			} catch {
				return resolveLostAttempt(address, attempt.id);
			}
		},
		async stop() {
			await agent.destroy();
		},
	};
}
