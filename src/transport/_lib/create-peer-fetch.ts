import {Buffer} from 'node:buffer';
import type {Agent} from 'node:http';
import {
	maxCallBytes,
	maxSnapshotAnswerBytes,
} from '../../protocol/constants.js';
import {readProcedureName} from './read-procedure-name.js';
import {readWholeBody} from './read-whole-body.js';
import {sendRequest, type SendOutcome} from './send-request.js';

/** The request options that the tRPC client sets. */
export type PeerFetchInit = {
	readonly body?: unknown;
	// The client's own type allows null.
	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	readonly signal?: AbortSignal | null | undefined;
};

/** The part of a response that the tRPC client reads. */
export type PeerFetchResponse = {
	readonly ok: boolean;
	json(): Promise<unknown>;
	text(): Promise<string>;
};

/** Sends a call of the tRPC client; rejects unless the response is complete. */
export type PeerFetch = (
	url: string,
	init?: PeerFetchInit,
) => Promise<PeerFetchResponse>;

const statusOk = 200;

/** Name of the procedure whose answers may contain snapshots. */
const snapshotProcedure = 'poll';

async function readText(
	outcome: SendOutcome,
	maxBytes: number,
): Promise<string> {
	if (outcome.kind !== 'answered') {
		const refusal = outcome.kind === 'not-sent' ? outcome.refusal : undefined;
		const reason = refusal === undefined ? '' : `: ${refusal}`;
		throw new Error(`call to a peer failed: ${outcome.kind}${reason}`);
	}

	const whole = await readWholeBody(outcome.body, maxBytes);
	if (!whole) {
		throw new Error('response of the peer is too long');
	}

	return Buffer.from(whole).toString();
}

/**
 * Creates the fetch function of a tRPC client for one peer.
 *
 * @param address - IP and port of the peer
 * @param selectAgent - returns the agent (connection pool) for a URL
 * @returns the fetch function
 */
export function createPeerFetch(
	address: string,
	selectAgent: (url: string) => Agent,
): PeerFetch {
	return async (url, init = {}) => {
		const body = Buffer.from(typeof init.body === 'string' ? init.body : '');
		const {pathname, search} = new URL(url);
		const sent = sendRequest(
			{
				method: 'POST',
				path: pathname + search,
				headers: {
					host: address,
					'content-type': 'application/json',
					'content-length': String(body.length),
				},
				body,
			},
			{agent: selectAgent(url), address},
		);
		const {signal} = init;
		if (signal?.aborted) {
			sent.abort();
		}

		signal?.addEventListener('abort', sent.abort, {once: true});
		try {
			const outcome = await sent.outcome;
			const text = await readText(
				outcome,
				readProcedureName(url) === snapshotProcedure
					? maxSnapshotAnswerBytes
					: maxCallBytes,
			);
			return {
				ok: outcome.kind === 'answered' && outcome.status === statusOk,
				json: async () => JSON.parse(text) as unknown,
				text: async () => text,
			};
		} finally {
			signal?.removeEventListener('abort', sent.abort);
		}
	};
}

/**
 * Adapts a peer fetch to the signature that the tRPC client expects.
 *
 * @param send - the peer fetch
 * @returns a function that accepts the URL in any of the client's types
 */
export function adaptFetch(
	send: PeerFetch,
): (
	url: string | {readonly href: string} | {readonly url: string},
	init?: PeerFetchInit,
) => Promise<PeerFetchResponse> {
	return async (url, init) => {
		// Avoids naming the classes of the web API, since Node loads them on first use.
		const text =
			typeof url === 'string' ? url : 'href' in url ? url.href : url.url;
		return send(text, init);
	};
}
