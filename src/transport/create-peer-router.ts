import {initTRPC, TRPCError} from '@trpc/server';
import {
	encodedExchangeSchema,
	type EncodedExchange,
	type ExchangeAnswer,
} from '../protocol/member.js';
import {
	crashExchangeSchema,
	type CrashExchange,
	type CrashExchangeAnswer,
} from '../protocol/crash-record.js';
import {
	encodedQuotaAsksSchema,
	type EncodedQuotaAsks,
	type EncodedQuotaGrants,
} from '../protocol/quota.js';
import {pollSchema, type Poll, type PollAnswer} from '../protocol/peer.js';
import {
	documentPollSchema,
	type DocumentPoll,
	type EncodedDocumentAnswer,
} from '../protocol/routing-document.js';
import {
	rolloutReportSchema,
	type RolloutAnswer,
	type RolloutReport,
} from '../protocol/rollout.js';
import type {GateStamp} from '../protocol/stamp.js';
import type {LedgerStep} from '../coordination/step-ledger-record.js';
import {attemptQuerySchema, type AttemptQuery} from '../protocol/attempt.js';

/** Result of writing the response to a call. */
export type WrittenResponse = {
	/** Bytes written, including the response head. */
	readonly bytes: number;
	/** Time until the response was handed to the operating system, ms. */
	readonly durationMs: number;
	/** Whether the complete response was written. */
	readonly isWhole: boolean;
};

/** A received call whose response can be observed. */
export type PeerCall = {
	/** Calls a listener when the response has been written or its connection has closed; bytes and time are counted from now. */
	onWritten(listener: (written: WrittenResponse) => void): void;
};

/** Handlers of the calls from other nodes, provided by the tasks of a node. */
export type PeerHandlers = {
	handlePoll(poll: Poll): Promise<PollAnswer>;
	handleExchange(exchange: EncodedExchange): ExchangeAnswer;
	handleAsk(question: AttemptQuery): LedgerStep['answer'];
	handleCancel(question: AttemptQuery): void;
	handleStamp(): GateStamp;
	handleCrashes(exchange: CrashExchange): CrashExchangeAnswer;
	/** Handles asks for tokens of tenants; absent on nodes without quotas. */
	handleQuota?(asks: EncodedQuotaAsks): EncodedQuotaGrants;
	/** Handles reports to the leader of roll-outs; absent on nodes without roll-outs. */
	handleRollout?(report: RolloutReport): RolloutAnswer;
	/** Handles polls for routing documents; absent on nodes without documents. */
	handleDocument?(
		poll: DocumentPoll,
		call?: PeerCall,
	): Promise<EncodedDocumentAnswer>;
};

/**
 * Creates the tRPC router for the calls between nodes.
 *
 * @param handlers - handler of each procedure
 * @returns the tRPC router
 * @example
 * createPeerRouter({handlePoll, handleExchange, handleAsk, handleCancel, handleStamp});
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
			.input(encodedExchangeSchema)
			.mutation(({input}) => handlers.handleExchange(input)),
		crashes: t.procedure
			.input(crashExchangeSchema)
			.mutation(({input}) => handlers.handleCrashes(input)),
		quota: t.procedure
			.input(encodedQuotaAsksSchema)
			.mutation(({input}): EncodedQuotaGrants => {
				if (!handlers.handleQuota) {
					throw new TRPCError({code: 'NOT_IMPLEMENTED'});
				}

				return handlers.handleQuota(input);
			}),
		rollout: t.procedure
			.input(rolloutReportSchema)
			.mutation(({input}): RolloutAnswer => {
				if (!handlers.handleRollout) {
					throw new TRPCError({code: 'NOT_IMPLEMENTED'});
				}

				return handlers.handleRollout(input);
			}),
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
