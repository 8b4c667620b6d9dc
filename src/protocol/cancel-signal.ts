/**
 * Signals that an operation is cancelled: the subset of `AbortSignal` that the
 * request path uses.
 */
export type CancelSignal = {
	readonly aborted: boolean;
	addEventListener(
		type: 'abort',
		listener: () => void,
		options?: {readonly once?: boolean},
	): void;
	removeEventListener(type: 'abort', listener: () => void): void;
};
