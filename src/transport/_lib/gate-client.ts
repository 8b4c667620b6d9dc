import type {LedgerStep} from '../../coordination/step-ledger-record.js';
import type {
	Attempt,
	AttemptQuestion,
	ForwardResult,
	UpstreamNotice,
} from '../../protocol/attempt.js';
import type {CancelSignal} from '../../protocol/cancel-signal.js';
import type {Candidate} from '../../protocol/member.js';
import type {GateStamp} from '../../protocol/stamp.js';

/** A gate as a request uses it, be it local or of another host. */
export type GateClient = {
	readonly host: Candidate;
	/** Whether the gate is in this process, so that nothing can be lost. */
	readonly isLocal: boolean;
	readStamp(): GateStamp | undefined;
	/**
	 * Reads the time of the gate's clock at a time of the own one, ms; undefined
	 * when it is not known, or when the gate is in this process.
	 */
	readGateTime(at: number): number | undefined;
	/** Reads what is known of the gate's upstream; undefined when that is nothing of note. */
	readNotice(): UpstreamNotice | undefined;
	runAttempt(attempt: Attempt): Promise<ForwardResult>;
	ask(question: AttemptQuestion): Promise<LedgerStep['answer'] | 'failed'>;
	fetchAnswer(
		id: string,
		remainingMs: number,
		signal: CancelSignal,
	): Promise<ForwardResult>;
	cancel(question: AttemptQuestion): Promise<void>;
};
