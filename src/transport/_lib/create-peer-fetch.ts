import {Buffer} from 'node:buffer';
import type {Agent} from 'node:http';
import {maxPeerAnswerBytes} from '../../protocol/constants.js';
import {readWholeBody} from './read-whole-body.js';
import {sendRequest, type SendOutcome} from './send-request.js';

/** What of a request the tRPC client sets. */
export type PeerFetchInit = {
	readonly body?: unknown;
	// The client's own type allows null.
	// eslint-disable-next-line @typescript-eslint/no-restricted-types
	readonly signal?: AbortSignal | null | undefined;
};

/** What of a response the tRPC client reads. */
export type PeerFetchResponse = {
	readonly ok: boolean;
	json(): Promise<unknown>;
	text(): Promise<string>;
};

/** Sends a call of the tRPC client; rejects when it is not answered whole. */
export type PeerFetch = (
	url: string,
	init?: PeerFetchInit,
) => Promise<PeerFetchResponse>;

const statusOk = 200;

async function readText(outcome: SendOutcome): Promise<string> {
	if (outcome.kind !== 'answered') {
		throw new Error(`call not answered: ${outcome.kind}`);
	}

	const whole = await readWholeBody(outcome.body, maxPeerAnswerBytes);
	if (!whole) {
		throw new Error('answer is too long');
	}

	return Buffer.from(whole).toString();
}

/**
 * Creates the function with which a tRPC client sends its calls.
 *
 * @param address - IP and port of the other node
 * @param selectAgent - chooses the connections for a URL
 * @returns the function
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
			const text = await readText(outcome);
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
 * Gives a peer fetch the signature that the tRPC client calls.
 *
 * @param send - the peer fetch
 * @returns the same function for a URL of any type
 */
export function adaptFetch(
	send: PeerFetch,
): (
	url: string | {readonly href: string} | {readonly url: string},
	init?: PeerFetchInit,
) => Promise<PeerFetchResponse> {
	return async (url, init) => {
		// The classes of the web API are not named here: Node loads them on first use.
		const text =
			typeof url === 'string' ? url : 'href' in url ? url.href : url.url;
		return send(text, init);
	};
}
