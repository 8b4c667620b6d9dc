import type {
	ConnectionMessage,
	ConnectionState,
	ConnectionStep,
	PendingRequest,
} from './connection-state.js';

/**
 * Advances the state of a client's connection by one message.
 *
 * Answers the load of clients that pipeline. A response that closes the
 * connection ends all that is owed behind it, so only the last one owed may
 * close it, and no request that is read after its head is handled (RFC 9112,
 * section 9.6).
 *
 * @param state - the state before; not modified
 * @param message - the message to handle
 * @returns the state after and what to do with the socket
 * @example
 * stepConnection({intake: 'ended', pending: []}, {kind: 'request', request}).action; // 'discard'
 */
export function stepConnection<Request extends PendingRequest>(
	state: ConnectionState<Request>,
	message: ConnectionMessage<Request>,
): ConnectionStep<Request> {
	const {intake, pending} = state;
	switch (message.kind) {
		case 'request': {
			const isBlocked = pending.at(-1)?.allowsPipelining === false;
			return intake === 'ended' || isBlocked
				? {state: {intake: 'ended', pending}, action: 'discard'}
				: {
						state: {intake, pending: [...pending, message.request]},
						action: 'handle',
					};
		}

		case 'head': {
			const isLast = pending.at(-1) === message.request;
			return isLast && (message.wantsClose || intake === 'ended')
				? {state: {intake: 'ended', pending}, action: 'close-after'}
				: {state, action: 'continue'};
		}

		case 'written': {
			const rest = pending.filter((request) => request !== message.request);
			return {
				state: {intake, pending: rest},
				action: intake === 'ended' && rest.length === 0 ? 'close' : 'continue',
			};
		}

		case 'unreadable': {
			const rest = message.isLastPartial ? pending.slice(0, -1) : pending;
			return {
				state: {intake: 'ended', pending: rest},
				action: rest.length === 0 ? 'reject' : 'continue',
			};
		}
	}
}
