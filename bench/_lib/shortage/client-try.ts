import type {RequestClass} from './shortage-parameters.js';

/** What a client receives. */
export type ClientAnswer = {
	/** `closed` when its connection was closed without an answer. */
	readonly status: 200 | 500 | 502 | 503 | 504 | 'closed';
	/** Delay after which it should retry, ms. */
	readonly retryAfterMs?: number;
	/** Why it is refused. */
	readonly reason?: string | undefined;
};

/** One try of a client at a request. */
export type ClientTry = {
	readonly requestClass: RequestClass;
	/** Time that the client will wait, ms. */
	readonly deadlineMs: number;
	/** Whether the client is an upstream that runs another request. */
	readonly isCall: boolean;
	hasLeft: boolean;
	isRead: boolean;
	/** Called when the client leaves; set by the node that runs the request. */
	onLeave: (() => void) | undefined;
	/** Called when an upstream starts to run it. */
	readonly onRun: (() => void) | undefined;
	readonly answer: (answer: ClientAnswer) => void;
};
