const bitsPerByte = 8;
/** 1 Mbit/s is 1,000,000 bits per 1000 ms. */
const bitsPerMsAtOneMbps = 1000;

/**
 * Computes the transfer time of a body over a link.
 *
 * Matters for long bodies on hosts with slow links: 360 KB take about half a
 * second at 6 Mbit/s, which may be the whole latency objective of a request.
 *
 * @param bytes - length of the body
 * @param linkMbps - bandwidth of the slowest link on the path, Mbit/s
 * @returns the time, ms
 * @example
 * computeTransferTime(360_000, 6); // 480
 */
export function computeTransferTime(bytes: number, linkMbps: number): number {
	return (bytes * bitsPerByte) / bitsPerMsAtOneMbps / linkMbps;
}
