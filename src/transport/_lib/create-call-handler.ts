import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	callTRPCProcedure,
	getTRPCErrorFromUnknown,
	getTRPCErrorShape,
	TRPCError,
} from '@trpc/server';
import {getHTTPStatusCodeFromError} from '@trpc/server/http';
import type {PeerCall, PeerRouter} from '../create-peer-router.js';
import {readProcedureName} from './read-procedure-name.js';
import {readRequestBody} from './read-request-body.js';
import {sendJson} from './send-json.js';

/** Options of `createCallHandler`. */
export type CallHandlerOptions = {
	readonly router: PeerRouter;
	/** Longest body that is accepted. */
	readonly maxBytes: number;
	/** Called when a call cannot be read, with the name of its procedure. */
	readonly onUnreadable?: (procedure: string, reason: string) => void;
	/** Creates the tRPC context, which describes the connection of the call. */
	readonly createContext?: (response: ServerResponse) => PeerCall;
};

const statusOk = 200;
const unreadableCodes: ReadonlySet<TRPCError['code']> = new Set([
	'BAD_REQUEST',
	'PARSE_ERROR',
	'PAYLOAD_TOO_LARGE',
	'NOT_FOUND',
]);

/** Handles one call; a response that cannot be sent is dropped with its connection. */
export type CallHandler = (
	request: IncomingMessage,
	response: ServerResponse,
) => Promise<void>;

async function readInput(
	request: IncomingMessage,
	maxBytes: number,
): Promise<unknown> {
	const read = await readRequestBody(request, {
		maxBytes,
		bufferLimitBytes: maxBytes,
	});
	if (read.kind === 'refused' || !(read.body instanceof Uint8Array)) {
		throw new TRPCError({code: 'PAYLOAD_TOO_LARGE'});
	}

	const text = Buffer.from(read.body).toString();
	try {
		return text === '' ? undefined : (JSON.parse(text) as unknown);
	} catch (error) {
		throw new TRPCError({code: 'PARSE_ERROR', cause: error});
	}
}

/**
 * Creates the handler of calls between nodes. It serves the procedures of a
 * tRPC router over plain Node HTTP.
 *
 * In an idle fleet these calls are most of a node's work. tRPC's own handler
 * creates a web request and two web streams for each call and loads the web API
 * for that, which this handler avoids.
 *
 * @param options - see `CallHandlerOptions`
 * @returns the handler
 */
export function createCallHandler(options: CallHandlerOptions): CallHandler {
	const {router, maxBytes, createContext, onUnreadable} = options;
	return async (request, response) => {
		const path = readProcedureName(request.url ?? '');
		const type = request.method === 'POST' ? 'mutation' : 'query';
		let input: unknown;
		try {
			const data: unknown = await callTRPCProcedure({
				router,
				path,
				type,
				ctx: createContext?.(response) ?? {},
				signal: undefined,
				batchIndex: 0,
				async getRawInput() {
					input = await readInput(request, maxBytes);
					return input;
				},
			});
			sendJson(response, statusOk, {result: {data}});
		} catch (error_) {
			const error = getTRPCErrorFromUnknown(error_);
			if (unreadableCodes.has(error.code)) {
				onUnreadable?.(path, `${error.code}: ${error.message}`);
			}

			const {_config: config} = router._def;
			const shape = getTRPCErrorShape({
				config,
				error,
				type,
				path,
				input,
				ctx: undefined,
			});
			sendJson(response, getHTTPStatusCodeFromError(error), {error: shape});
		}
	};
}
