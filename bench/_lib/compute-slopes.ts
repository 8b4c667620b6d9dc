import {designSize, serversPerDataCentre} from './design-size.js';
import {computeLine, type Line, type Point} from './compute-line.js';
import type {Measurements} from './measurement-files.js';

/** A quantity, how it grows, and its value at the size to design for. */
export type Slope = {
	readonly name: string;
	readonly unit: string;
	/** What it is fitted against. */
	readonly against: string;
	readonly points: readonly Point[];
	readonly line: Line | undefined;
	/** Where the line is read. */
	readonly at: number;
	/** Value there, undefined without at least two sizes. */
	readonly value: number | undefined;
};

type SlopeInput<T> = {
	readonly name: string;
	readonly unit: string;
	readonly against: string;
	readonly at: number;
	readonly rows: readonly T[] | undefined;
	readonly x: (row: T) => number;
	readonly y: (row: T) => number;
};

function createSlope<T>(input: SlopeInput<T>): Slope {
	const {name, unit, against, at, rows = [], x, y} = input;
	const points = rows.map((row) => ({x: x(row), y: y(row)}));
	const line = computeLine(points);
	const value = line && Math.max(0, line.intercept + line.slope * at);
	return {name, unit, against, at, points, line, value};
}

/** The slopes by key. */
export type Slopes = ReturnType<typeof computeSlopes>;

/**
 * Computes the slopes that the capacity page rests on.
 *
 * @param measurements - the measurement files
 * @returns the slopes; those without measurements have no value
 * @example
 * computeSlopes(measurements).quietBytes.value;
 */
export function computeSlopes(measurements: Measurements) {
	const {members, config} = measurements;
	const perMember = {
		against: 'members of the data centre',
		at: serversPerDataCentre,
		rows: members?.sizes,
		x: (row: {readonly members: number}) => row.members,
	};
	const perLog = {
		against: 'log2 of members',
		at: Math.log2(serversPerDataCentre),
		rows: members?.sizes,
		x: (row: {readonly members: number}) => Math.log2(row.members),
	};
	const perHerd = {...perMember, rows: members?.herds};
	const perDataCentre = {
		against: 'data centres',
		at: designSize.dataCentres,
		rows: members?.bridges,
		x: (row: {readonly dataCentres: number}) => row.dataCentres,
	};
	const perNode = {
		against: 'nodes of the data centre',
		at: serversPerDataCentre,
		rows: config?.ways.tree,
		x: (row: {readonly nodes: number}) => row.nodes,
	};
	return {
		quietBytes: createSlope({
			...perMember,
			name: 'members, quiet',
			unit: 'B/s a node',
			y: (row) => row.quietBytesPerSecond,
		}),
		quietMessages: createSlope({
			...perMember,
			name: 'members, quiet',
			unit: 'messages/s a node',
			y: (row) => row.quietMessagesPerSecond,
		}),
		quietCpu: createSlope({
			...perMember,
			name: 'members, quiet, decisions only',
			unit: 'ms/s a node',
			y: (row) => row.quietCpuMsPerSecond,
		}),
		changeBytes: createSlope({
			...perLog,
			name: 'members, one change',
			unit: 'B a node',
			y: (row) => row.bytesPerChange,
		}),
		changeCpu: createSlope({
			...perMember,
			name: 'members, one change, decisions only',
			unit: 'ms a node',
			y: (row) => row.cpuMsPerChange,
		}),
		leaveMs: createSlope({
			...perLog,
			name: 'leave known by all',
			unit: 'ms',
			y: (row) => row.leaveKnownMs,
		}),
		arriveMs: createSlope({
			...perLog,
			name: 'new upstream known by all',
			unit: 'ms',
			y: (row) => row.newUpstreamKnownMs,
		}),
		deathMs: createSlope({
			...perLog,
			name: 'death known by all',
			unit: 'ms',
			y: (row) => row.deathKnownMs,
		}),
		memory: createSlope({
			against: 'members of the fleet',
			at: designSize.servers,
			rows: members?.memory,
			x: (row) => row.members,
			name: 'known members',
			unit: 'B a node',
			y: (row) => row.members * row.bytesPerMember,
		}),
		bridgeBytes: createSlope({
			...perDataCentre,
			name: 'bridge, quiet',
			unit: 'B/s',
			y: (row) => row.bytesPerSecond,
		}),
		bridgeMessages: createSlope({
			...perDataCentre,
			name: 'bridge, quiet',
			unit: 'messages/s',
			y: (row) => row.messagesPerSecond,
		}),
		herdMs: createSlope({
			...perHerd,
			name: 'return of four fifths',
			unit: 'ms',
			y: (row) => row.returnMs,
		}),
		herdBytes: createSlope({
			...perHerd,
			name: 'return of four fifths, peak',
			unit: 'B/s a node',
			y: (row) => row.peakBytesPerNodePerSecond,
		}),
		herdCalls: createSlope({
			...perHerd,
			name: 'return of four fifths, peak',
			unit: 'platform calls/s',
			y: (row) => row.peakPlatformCallsPerSecond,
		}),
		configBytes: createSlope({
			...perNode,
			name: 'configuration, one change',
			unit: 'B a node',
			y: (row) => row.bytesPerNodePerChange,
		}),
		configBusiest: createSlope({
			...perNode,
			name: 'configuration, busiest node',
			unit: 'B/s',
			y: (row) => row.busiestNodeBytesPerSecond,
		}),
		configCpu: createSlope({
			...perNode,
			name: 'configuration, one change',
			unit: 'ms a node',
			y: (row) => row.cpuMsPerChange,
		}),
		configCalls: createSlope({
			...perNode,
			name: 'configuration',
			unit: 'platform calls/s',
			y: (row) => row.platformCallsPerSecond,
		}),
		configMs: createSlope({
			...perNode,
			against: 'log2 of nodes',
			at: Math.log2(serversPerDataCentre),
			x: (row) => Math.log2(row.nodes),
			name: 'configuration, slowest convergence',
			unit: 'ms',
			y: (row) => row.convergenceMs.max,
		}),
	};
}
