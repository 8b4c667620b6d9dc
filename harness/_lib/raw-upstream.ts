/**
 * An upstream of the users' platform that writes its responses byte by byte as
 * a test says, for faults of responses.
 */
import type {Socket} from 'node:net';
import type {TestContext} from 'node:test';
import {startRawServer} from './start-raw-server.js';

const idPattern = /^x-boragehitch-request-id: (?<id>\S+)/imv;
const lengthPattern = /^content-length: (?<length>\d+)/imv;
const headSeparator = '\r\n\r\n';

/** A request that has arrived. */
export type RawRequest = {
	/** Identifier of the request; empty when it has none. */
	readonly id: string;
	readonly head: string;
	readonly socket: Socket;
};

/** A started upstream. */
export type RawUpstream = {
	readonly address: string;
	/** Number of arrivals by request id. */
	readonly runs: ReadonlyMap<string, number>;
};

/** Options of `startRawUpstream`. */
export type RawUpstreamOptions = {
	/** Writes the response to a request; returns false when the request was refused, which does not count as a run. */
	readonly respond: (request: RawRequest) => boolean;
	/** Whether it responds before the body has arrived; false when absent. */
	readonly respondsEarly?: boolean;
	/** Called when the head of a request has arrived, before `respond`. */
	readonly onHead?: (request: RawRequest) => void;
};

/** Formats a complete response to a request. */
export function formatRawResponse(id: string): string {
	return `HTTP/1.1 200 OK\r\nx-boragehitch-request-id: ${id}\r\nx-boragehitch-response-signature: signed\r\ncontent-length: 2\r\n\r\nok`;
}

/** Starts an upstream; it takes one request at a time on a connection. */
export async function startRawUpstream(
	t: TestContext,
	{respond, respondsEarly = false, onHead}: RawUpstreamOptions,
): Promise<RawUpstream> {
	const runs = new Map<string, number>();
	const address = await startRawServer(t, (socket) => {
		let text = '';
		let hasHead = false;
		socket.on('data', (chunk) => {
			text += String(chunk);
			const headEnd = text.indexOf(headSeparator);
			const head = text.slice(0, Math.max(0, headEnd));
			const length = Number(lengthPattern.exec(head)?.groups?.length ?? 0);
			const end = headEnd + headSeparator.length + length;
			const id = idPattern.exec(head)?.groups?.id ?? '';
			if (headEnd !== -1 && !hasHead) {
				hasHead = true;
				onHead?.({id, head, socket});
			}

			if (headEnd === -1 || (!respondsEarly && text.length < end)) {
				return;
			}

			text = '';
			hasHead = false;
			if (respond({id, head, socket})) {
				runs.set(id, (runs.get(id) ?? 0) + 1);
			}
		});
	});
	return {address, runs};
}
