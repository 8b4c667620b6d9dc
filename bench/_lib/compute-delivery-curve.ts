/** Slopes from which the curve is worked out. */
export type DeliverySlopes = {
	readonly nodesPerDataCentre: number;
	readonly roots: number;
	readonly changesPerSecond: number;
	/** Size of a change on the wire, bytes. */
	readonly changeBytes: number;
	/** Calls and headers that one batch costs on one link, bytes. */
	readonly batchBytes: number;
	/** Traffic of a node while nothing changes, bytes a second. */
	readonly quietBytesPerSecond: number;
	/** Time that a change takes over one level of the tree, ms. */
	readonly levelMs: number;
};

/** One setting with the time and bytes that follow. */
export type CurvePoint = {
	readonly fanOut: number;
	/** Time for which changes are gathered before they are passed on, ms. */
	readonly batchMs: number;
	readonly levels: number;
	/** Longest time from the roots to the last node, ms. */
	readonly timeMs: number;
	/** Traffic of a node with all its children, bytes a second. */
	readonly bytesPerSecond: number;
};

const msPerSecond = 1000;

function countLevels(nodes: number, roots: number, fanOut: number): number {
	let levels = 0;
	for (let reached = roots, width = roots; reached < nodes; levels++) {
		width *= fanOut;
		reached += width;
	}

	return levels;
}

/**
 * Computes time and bytes of delivery down a tree for settings of fan-out and
 * batching, from measured slopes.
 *
 * @param slopes - see `DeliverySlopes`
 * @param fanOuts - children of a node
 * @param batchTimes - times for which changes are gathered, ms
 * @returns a point for each pair of settings
 * @example
 * computeDeliveryCurve(slopes, [4], [0])[0]?.levels;
 */
export function computeDeliveryCurve(
	slopes: DeliverySlopes,
	fanOuts: readonly number[],
	batchTimes: readonly number[],
): readonly CurvePoint[] {
	const {changesPerSecond: rate, changeBytes, batchBytes, levelMs} = slopes;
	return fanOuts.flatMap((fanOut) =>
		batchTimes.map((batchMs): CurvePoint => {
			const {nodesPerDataCentre, roots} = slopes;
			const levels = countLevels(nodesPerDataCentre, roots, fanOut);
			const batches =
				batchMs === 0 ? rate : Math.min(rate, msPerSecond / batchMs);
			const link = rate * changeBytes + batches * batchBytes;
			return {
				fanOut,
				batchMs,
				levels,
				timeMs: levels * (levelMs + batchMs),
				bytesPerSecond: slopes.quietBytesPerSecond + (1 + fanOut) * link,
			};
		}),
	);
}
