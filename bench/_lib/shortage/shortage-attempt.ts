/**
 * An attempt between two nodes of `simulateShortage`, and its end.
 */
import type {GateLoad} from '../../../src/protocol/attempt.js';
import type {OutcomeReason} from '../../../src/protocol/request.js';
import type {RequestClass} from './shortage-parameters.js';

/** An attempt on its way to a gate. */
export type ShortageAttempt = {
	readonly requestClass: RequestClass;
	readonly isCall: boolean;
	/** Until when it may run, ms. */
	readonly deadlineAt: number;
	/** Until when its answer has its full value, ms. */
	readonly objectiveAt: number;
	/** Called when the upstream starts to run it. */
	readonly onRun: () => void;
	/** Called once with its end. */
	readonly onEnd: (end: AttemptEnd) => void;
};

/** End of an attempt, as its gate tells it. */
export type AttemptEnd = {
	readonly load: GateLoad | undefined;
	/** Event loop lag of the gate, ms. */
	readonly lagMs: number;
} & (
	| {readonly kind: 'answered'; readonly status: 200 | 500 | 504}
	| {
			readonly kind: 'not-run';
			readonly reason: OutcomeReason;
			readonly retryAfterSeconds: number;
	  }
	| {readonly kind: 'lost'}
);
