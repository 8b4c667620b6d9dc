/** A point of a measurement: what was varied, and what was found. */
export type Point = {readonly x: number; readonly y: number};

/** A straight line through points. */
export type Line = {
	readonly slope: number;
	readonly intercept: number;
	/** Share of the variance that the line explains. */
	readonly r2: number;
};

function computeMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Fits a line to points by least squares.
 *
 * @param points - at least two, at different places
 * @returns the line, or undefined when there are too few points
 * @example
 * computeLine([{x: 0, y: 1}, {x: 1, y: 3}])?.slope; // 2
 */
export function computeLine(points: readonly Point[]): Line | undefined {
	const meanX = computeMean(points.map(({x}) => x));
	const meanY = computeMean(points.map(({y}) => y));
	const sum = (compute: (point: Point) => number) =>
		points.reduce((total, point) => total + compute(point), 0);
	const varianceX = sum(({x}) => (x - meanX) ** 2);
	if (points.length < 2 || varianceX === 0) {
		return undefined;
	}

	const slope = sum(({x, y}) => (x - meanX) * (y - meanY)) / varianceX;
	const intercept = meanY - slope * meanX;
	const varianceY = sum(({y}) => (y - meanY) ** 2);
	const residual = sum(({x, y}) => (y - intercept - slope * x) ** 2);
	const r2 = varianceY === 0 ? 1 : 1 - residual / varianceY;
	return {slope, intercept, r2};
}
