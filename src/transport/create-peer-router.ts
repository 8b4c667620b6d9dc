import {initTRPC, TRPCError} from '@trpc/server';
import {
	exchangeSchema,
	type Exchange,
	type ExchangeAnswer,
} from '../protocol/member.js';
import {pollSchema, type Poll, type PollAnswer} from '../protocol/peer.js';
import {
	documentPollSchema,
	type DocumentPoll,
	type EncodedDocumentAnswer,
} from '../protocol/routing-document.js';
import type {GateStamp} from '../protocol/stamp.js';
import type {LedgerStep} from '../coordination/step-ledger-record.js';
import {attemptQuerySchema, type AttemptQuery} from '../protocol/attempt.js';

/** What became of the answer to a call on its connection. */
export type WrittenResponse = {
	/** Head included. */
	readonly bytes: number;
	/** Time until it was handed to the operating system, ms. */
	readonly durationMs: number;
	/** Whether it was written to its end. */
	readonly isWhole: boolean;
};

/** A call on its connection. */
export type PeerCall = {
	/** Observes the writing of the answer, which begins now. */
	onWritten(listener: (written: WrittenResponse) => void): void;
};

/** The handlers that a node's tasks give to the peer router. */
export type PeerHandlers = {
	handlePoll(poll: Poll): Promise<PollAnswer>;
	handleExchange(exchange: Exchange): ExchangeAnswer;
	handleAsk(question: AttemptQuery): LedgerStep['answer'];
	handleCancel(question: AttemptQuery): void;
	handleStamp(): GateStamp;
	/** Answers polls for documents; absent where there are none. */
	handleDocument?(
		poll: DocumentPoll,
		call?: PeerCall,
	): Promise<EncodedDocumentAnswer>;
};

/**
 * Creates the router of the calls between nodes.
 *
 * @param handlers - what answers each call
 * @returns the tRPC router
 * @example
 * createPeerRouter({handlePoll, handleExchange, handleAsk, handleCancel});
 */
export function createPeerRouter(handlers: PeerHandlers) {
	const t = initTRPC.context<Partial<PeerCall>>().create();
	return t.router({
		poll: t.procedure
			.input(pollSchema)
			.mutation(async ({input}) => handlers.handlePoll(input)),
		document: t.procedure
			.input(documentPollSchema)
			.mutation(async ({input, ctx}): Promise<EncodedDocumentAnswer> => {
				if (!handlers.handleDocument) {
					throw new TRPCError({code: 'NOT_IMPLEMENTED'});
				}

				const {onWritten} = ctx;
				return handlers.handleDocument(input, onWritten && {onWritten});
			}),
		exchange: t.procedure
			.input(exchangeSchema)
			.mutation(({input}) => handlers.handleExchange(input)),
		ask: t.procedure
			.input(attemptQuerySchema)
			.mutation(({input}) => handlers.handleAsk(input)),
		stamp: t.procedure.mutation(() => handlers.handleStamp()),
		cancel: t.procedure.input(attemptQuerySchema).mutation(({input}) => {
			handlers.handleCancel(input);
		}),
	});
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;
