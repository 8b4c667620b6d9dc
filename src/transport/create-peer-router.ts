import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import {
	exchangeSchema,
	pollSchema,
	type Exchange,
	type Poll,
	type PollAnswer,
} from '../protocol/peer.js';
import type {LedgerRecord} from '../coordination/step-ledger-record.js';

/** The handlers that a node's tasks give to the peer router. */
export type PeerHandlers = {
	handlePoll(poll: Poll): Promise<PollAnswer>;
	handleExchange(exchange: Exchange): Exchange;
	handleAsk(id: string): LedgerRecord['kind'];
};

/**
 * Creates the router of the calls between nodes.
 *
 * @param handlers - what answers each call
 * @returns the tRPC router
 * @example
 * createPeerRouter({handlePoll, handleExchange, handleAsk});
 */
export function createPeerRouter(handlers: PeerHandlers) {
	const t = initTRPC.create();
	return t.router({
		poll: t.procedure
			.input(pollSchema)
			.mutation(async ({input}) => handlers.handlePoll(input)),
		exchange: t.procedure
			.input(exchangeSchema)
			.mutation(({input}) => handlers.handleExchange(input)),
		ask: t.procedure
			.input(z.strictObject({id: z.string().max(256)}))
			.mutation(({input}) => handlers.handleAsk(input.id)),
	});
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;
