import {bytesPerKibibyte} from '../../src/protocol/constants.js';
import {computeMedian} from '../../src/transport/_lib/compute-median.js';
import type {RequestCost} from './measure-request-cost.js';

/** What was measured in a round. */
export type CostRound = {
	/** What the processes of each side use without requests, a second. */
	readonly idle: ReadonlyMap<string, readonly RequestCost[]>;
	/** Costs at the caller's and the gate's process, by side and kind: `plain served`. */
	readonly costs: ReadonlyMap<string, readonly RequestCost[]>;
};

/** Bytes allocated for a request at the caller's and the gate's process, by side and kind. */
export type Allocations = ReadonlyMap<string, readonly number[]>;

/** A figure over all rounds. */
export type Spread = {
	readonly median: number;
	readonly min: number;
	readonly max: number;
};

/** What one kind of request costs at one node. */
export type CostRow = {
	readonly side: string;
	readonly kind: string;
	readonly node: 'caller' | 'gate';
	readonly cpuMs: Spread;
	/** Ratio to the plain forwarder at the same place; a refusal is compared with a served request. */
	readonly toPlain: Spread;
	/** Ratio to a served request at the same node, if one was measured. */
	readonly toServed?: Spread;
	/** Ratio to the same at the first of two builds. */
	readonly toBefore?: Spread;
	readonly reads: number;
	readonly writes: number;
	readonly waits: number;
	/** Bytes allocated on the heap, if they were sampled. */
	readonly allocatedBytes?: number;
};

/** The summary of all rounds. */
export type CostSummary = {
	readonly lines: readonly string[];
	readonly ratios: readonly CostRow[];
};

const nodes = ['caller', 'gate'] as const;
const plainSide = 'plain';

function createSpread(values: readonly number[]): Spread {
	return {
		median: computeMedian(values),
		min: Math.min(...values),
		max: Math.max(...values),
	};
}

function formatSpread({median, min, max}: Spread, digits: number): string {
	return `${median.toFixed(digits)} (${min.toFixed(digits)} to ${max.toFixed(digits)})`;
}

function subtractCost(cost: RequestCost, part: RequestCost): RequestCost {
	return {
		cpuMs: cost.cpuMs - part.cpuMs,
		reads: cost.reads - part.reads,
		writes: cost.writes - part.writes,
		waits: cost.waits - part.waits,
		seconds: cost.seconds,
	};
}

/** Computes what a process of a side uses a second without requests: the median of the rounds, since a window may hold a long collection. */
function computeIdle(
	rounds: readonly CostRound[],
	side: string,
	index: number,
): Omit<RequestCost, 'seconds'> {
	const compute = (name: 'cpuMs' | 'reads' | 'writes' | 'waits'): number =>
		computeMedian(rounds.map(({idle}) => idle.get(side)?.[index]?.[name] ?? 0));
	return {
		cpuMs: compute('cpuMs'),
		reads: compute('reads'),
		writes: compute('writes'),
		waits: compute('waits'),
	};
}

/** Subtracts from all costs of a round what the processes use anyway. */
function subtractIdle(
	{idle, costs}: CostRound,
	rounds: readonly CostRound[],
): CostRound {
	const net = [...costs].map(([key, processes]) => {
		const [side = ''] = key.split(' ', 1);
		return [
			key,
			processes.map((cost, index) => {
				const anyway = computeIdle(rounds, side, index);
				const {seconds} = cost;
				return subtractCost(cost, {
					cpuMs: anyway.cpuMs * seconds,
					reads: anyway.reads * seconds,
					writes: anyway.writes * seconds,
					waits: anyway.waits * seconds,
					seconds,
				});
			}),
		] as const;
	});
	return {idle, costs: new Map(net)};
}

/**
 * Adds the cost of a call: what a request that makes one costs more. The call
 * begins at the node that is the gate of the request.
 */
function addCalls({idle, costs}: CostRound): CostRound {
	const all = new Map(costs);
	for (const [key, [caller, gate]] of costs) {
		const [side = '', kind] = key.split(' ', 2);
		const [servedCaller, servedGate] = costs.get(`${side} served`) ?? [];
		if (kind === 'calling' && caller && gate && servedCaller && servedGate) {
			all.set(`${side} call`, [
				subtractCost(gate, servedGate),
				subtractCost(caller, servedCaller),
			]);
		}
	}

	return {idle, costs: all};
}

/**
 * Summarizes the rounds of the bench `cost`: medians and spreads of what each
 * kind of request costs, and of its ratios within each round.
 *
 * @param sides - names of the builds: one, or two of which the first is the earlier
 * @param rounds - at least one
 * @param allocations - see `Allocations`
 * @returns a table, and the same as plain data
 * @example
 * summarizeCosts(['node'], rounds).lines.join('\n');
 */
export function summarizeCosts(
	sides: readonly string[],
	rounds: readonly CostRound[],
	allocations: Allocations = new Map(),
): CostSummary {
	const all = rounds.map((round) => addCalls(subtractIdle(round, rounds)));
	const keys = [...(all[0]?.costs.keys() ?? [])];

	function readCosts(
		side: string,
		kind: string,
		index: number,
	): readonly RequestCost[] | undefined {
		const costs = all.map(
			(round) => round.costs.get(`${side} ${kind}`)?.[index],
		);
		return costs.every((cost) => cost !== undefined) ? costs : undefined;
	}

	function computeRatios(
		costs: readonly RequestCost[],
		bases: readonly RequestCost[] | undefined,
	): Spread | undefined {
		return (
			bases &&
			createSpread(costs.map(({cpuMs}, index) => cpuMs / bases[index]!.cpuMs))
		);
	}

	function createRow(side: string, kind: string, index: 0 | 1): CostRow {
		const costs = readCosts(side, kind, index)!;
		const [before] = sides;
		const plain =
			readCosts(plainSide, kind, index) ??
			readCosts(plainSide, 'served', index);
		const isRefusal = kind.endsWith('-refused');
		const toServed = isRefusal
			? computeRatios(costs, readCosts(side, 'served', index))
			: undefined;
		const toBefore =
			sides.includes(side) && side !== before
				? computeRatios(costs, readCosts(before!, kind, index))
				: undefined;
		const computeMiddle = (name: 'reads' | 'writes' | 'waits'): number =>
			computeMedian(costs.map((cost) => cost[name]));
		const allocatedBytes = allocations.get(`${side} ${kind}`)?.[index];
		return {
			side,
			kind,
			node: nodes[index],
			cpuMs: createSpread(costs.map(({cpuMs}) => cpuMs)),
			toPlain: computeRatios(costs, plain) ?? createSpread([Number.NaN]),
			...(toServed && {toServed}),
			...(toBefore && {toBefore}),
			reads: computeMiddle('reads'),
			writes: computeMiddle('writes'),
			waits: computeMiddle('waits'),
			...(allocatedBytes !== undefined && {allocatedBytes}),
		};
	}

	const kinds = [...new Set(keys.map((key) => key.split(' ', 2)[1] ?? ''))];
	const ratios = kinds.flatMap((kind) =>
		[...sides, plainSide]
			.filter((side) => keys.includes(`${side} ${kind}`))
			.flatMap((side) => [createRow(side, kind, 0), createRow(side, kind, 1)]),
	);
	return {
		lines: [...formatRows(ratios), ...formatIdle(rounds)],
		ratios,
	};
}

function formatRow(row: CostRow): readonly string[] {
	const {cpuMs, toPlain, toServed, toBefore} = row;
	return [
		row.kind,
		row.side,
		row.node,
		formatSpread(cpuMs, 3),
		row.side === plainSide ? '' : formatSpread(toPlain, 2),
		toServed ? formatSpread(toServed, 2) : '',
		toBefore ? formatSpread(toBefore, 3) : '',
		row.reads.toFixed(1),
		row.writes.toFixed(1),
		row.waits.toFixed(1),
		row.allocatedBytes === undefined
			? ''
			: (row.allocatedBytes / bytesPerKibibyte).toFixed(1),
	];
}

function formatRows(rows: readonly CostRow[]): readonly string[] {
	const cells = [
		[
			'kind',
			'side',
			'node',
			'ms a request',
			'to plain',
			'to served',
			'to before',
			'reads',
			'writes',
			'waits',
			'KiB',
		],
		...rows.map((row) => formatRow(row)),
	];
	const widths = cells[0]!.map((_, column) =>
		Math.max(...cells.map((row) => row[column]!.length)),
	);
	const lines = cells.map((row) =>
		row
			.map((cell, column) => cell.padEnd(widths[column]!))
			.join('  ')
			.trimEnd(),
	);
	return [
		`median of the rounds (lowest to highest); system calls that read or write, waits, and KiB allocated, a request`,
		...lines,
	];
}

function formatIdle(rounds: readonly CostRound[]): readonly string[] {
	const sides = [...(rounds[0]?.idle.keys() ?? [])];
	return sides.map((side) => {
		const texts = nodes.map((node, index) => {
			const times = rounds.map(({idle}) => idle.get(side)?.[index]?.cpuMs ?? 0);
			return `${formatSpread(createSpread(times), 1)} ms at the ${node}`;
		});
		return `without requests, a second, its median subtracted above: ${side}: ${texts.join(', ')}`;
	});
}
