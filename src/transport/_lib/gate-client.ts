import type {LedgerStep} from '../../coordination/step-ledger-record.js';
import type {
	Attempt,
	AttemptQuery,
	ForwardResult,
	UpstreamNotice,
} from '../../protocol/attempt.js';
import type {CancelSignal} from '../../protocol/cancel-signal.js';
import type {Candidate} from '../../protocol/member.js';
import type {GateStamp} from '../../protocol/stamp.js';

/** Client of a gate, either in this process or on another host. */
export type GateClient = {
	readonly host: Candidate;
	/** Software version of the upstream that must run the attempts; undefined when any may. */
	readonly version?: string | undefined;
	/** Whether the gate is in this process, in which case no message can be lost. */
	readonly isLocal: boolean;
	readStamp(): GateStamp | undefined;
	/**
	 * Converts a time of the local clock to the gate's clock, ms; undefined if the
	 * gate's clock is not known.
	 */
	readGateTime(at: number): number | undefined;
	/** Returns the last notice about the gate's upstream, if there is one. */
	readNotice(): UpstreamNotice | undefined;
	runAttempt(attempt: Attempt): Promise<ForwardResult>;
	ask(question: AttemptQuery): Promise<LedgerStep['answer'] | 'failed'>;
	fetchAnswer(
		id: string,
		remainingMs: number,
		signal: CancelSignal,
	): Promise<ForwardResult>;
	cancel(question: AttemptQuery): Promise<void>;
};
