/**
 * Tells when a piece of work is not wanted any more: what of an `AbortSignal`
 * the path of a request needs.
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
