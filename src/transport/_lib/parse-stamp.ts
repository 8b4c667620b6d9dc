import type {GateStamp} from '../../protocol/stamp.js';

/**
 * Parses the stamp header.
 *
 * @param text - header value
 * @returns the stamp, or undefined when the text is none
 */
export function parseStamp(text: unknown): GateStamp | undefined {
	const match = /^(\d{1,15})\/([\w\-]{1,64})$/v.exec(String(text));
	return match ? {timeMs: Number(match[1]), epoch: match[2]!} : undefined;
}
