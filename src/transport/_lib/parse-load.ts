import type {GateLoad} from '../../protocol/attempt.js';

/**
 * Parses the value of the load header, the inverse of `formatLoad`.
 *
 * @param text - header value
 * @returns the load, or undefined if the text is not a valid load
 */
export function parseLoad(text: unknown): GateLoad | undefined {
	const match =
		/^(\d{1,6})\/(\d{1,6})\/(\d{1,6})(?:\/(\d{1,6})\/(\d{1,6}))?$/v.exec(
			String(text),
		);
	return match
		? {
				inFlight: Number(match[1]),
				queued: Number(match[2]),
				slots: Number(match[3]),
				...(match[4] !== undefined && {
					serviceMs: Number(match[4]),
					routeMs: Number(match[5]),
				}),
			}
		: undefined;
}
