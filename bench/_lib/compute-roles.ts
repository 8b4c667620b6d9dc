import {designSize, serversPerDataCentre} from './design-size.js';
import type {Slope, Slopes} from './compute-slopes.js';
import type {Measurements} from './measurement-files.js';

/** A figure with what it rests on. */
export type Figure = {
	readonly value: number | undefined;
	/** Whether some part is of one size only, and so not read from a slope. */
	readonly isUnfitted: boolean;
};

/** What a node uses in a role, at the size to design for. */
export type RoleFigures = {
	readonly bytesPerSecond: Figure;
	readonly cpuMsPerSecond: Figure;
	readonly memoryBytes: Figure;
	readonly messagesPerSecond: Figure;
};

/** Reads a slope where it was asked for, or its only measured value. */
export function readSlope(slope: Slope): Figure {
	return {
		value: slope.value ?? slope.points.at(-1)?.y,
		isUnfitted: slope.value === undefined,
	};
}

/** Adds figures with weights; one that is missing makes the sum missing. */
export function combineFigures(
	parts: ReadonlyArray<readonly [number, Figure]>,
): Figure {
	const isMissing = parts.some(([, {value}]) => value === undefined);
	const sum = parts.reduce(
		(total, [weight, {value = 0}]) => total + weight * value,
		0,
	);
	return {
		value: isMissing ? undefined : sum,
		isUnfitted: parts.some(([, {isUnfitted}]) => isUnfitted),
	};
}

function createFigure(value: number | undefined): Figure {
	return {value, isUnfitted: false};
}

/**
 * Computes what a plain node and a bridge use at the size to design for.
 *
 * @param measurements - the measurement files
 * @param slopes - the slopes fitted to them
 * @returns the figures of each role
 * @example
 * computeRoles(measurements, computeSlopes(measurements)).plain;
 */
export function computeRoles(
	measurements: Measurements,
	slopes: Slopes,
): {readonly plain: RoleFigures; readonly bridge: RoleFigures} {
	const changes = measurements.members?.changesPerSecond ?? 0;
	const configChanges = designSize.configurationChangesPerSecond;
	const real = measurements.members?.real.at(-1);
	const memberBytes = [
		[changes, readSlope(slopes.changeBytes)],
		[configChanges, readSlope(slopes.configBytes)],
	] as const;
	const cpuMsPerSecond = combineFigures([
		[1, createFigure(real?.quietCpuMsPerSecond)],
		[1, readSlope(slopes.quietCpu)],
		[changes, readSlope(slopes.changeCpu)],
		[configChanges, readSlope(slopes.configCpu)],
	]);
	const memoryBytes = combineFigures([
		[1, createFigure(real?.rssBytes)],
		[1, readSlope(slopes.memory)],
	]);
	return {
		plain: {
			bytesPerSecond: combineFigures([
				[1, readSlope(slopes.quietBytes)],
				...memberBytes,
			]),
			messagesPerSecond: readSlope(slopes.quietMessages),
			cpuMsPerSecond,
			memoryBytes,
		},
		bridge: {
			bytesPerSecond: combineFigures([
				[1, readSlope(slopes.bridgeBytes)],
				...memberBytes,
			]),
			messagesPerSecond: readSlope(slopes.bridgeMessages),
			cpuMsPerSecond,
			memoryBytes,
		},
	};
}

/** Calls that an average server's node takes from callers in a second. */
export const callsPerServer = designSize.callsPerSecond / designSize.servers;

/** Members of other data centres that a node knows. */
export const remoteMembers = designSize.servers - serversPerDataCentre;
