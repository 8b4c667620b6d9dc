/** Bits in a byte, by milliseconds in a second, by bits in a megabit. */
const bitsPerByte = 8;
const bitsPerMsAtOneMbps = 1000;

/**
 * Computes how long a body takes over a link.
 *
 * Answers long bodies on hosts with thin links: 360 KB take half a second at
 * 6 Mbit/s, which may be all of the time in which an answer has its full value.
 *
 * @param bytes - length of the body
 * @param linkMbps - rate of the thinnest link on the way, Mbit/s
 * @returns the time, ms
 * @example
 * computeTransferTime(360_000, 6); // 480
 */
export function computeTransferTime(bytes: number, linkMbps: number): number {
	return (bytes * bitsPerByte) / bitsPerMsAtOneMbps / linkMbps;
}
