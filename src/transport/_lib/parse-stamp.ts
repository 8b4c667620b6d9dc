import type {GateStamp} from '../../protocol/stamp.js';

/**
 * Parses the value of the stamp header, the inverse of `formatStamp`.
 *
 * @param text - header value
 * @returns the stamp, or undefined if the text is not a valid stamp
 */
export function parseStamp(text: unknown): GateStamp | undefined {
	const match = /^(\d{1,15})\/([\w\-]{1,64})$/v.exec(String(text));
	return match ? {timeMs: Number(match[1]), epoch: match[2]!} : undefined;
}
