import type {ShortageResult} from '../simulate-shortage.js';

const nameWidth = 26;
const width = 8;

const columns: ReadonlyArray<
	readonly [string, number, (result: ShortageResult) => number]
> = [
	['offered', 0, ({offered}) => offered],
	['goodput', 0, ({goodput}) => goodput],
	['worth', 3, ({worth}) => worth],
	['lookup', 3, ({worthByClass}) => worthByClass.lookup!],
	['record', 3, ({worthByClass}) => worthByClass.record!],
	['order', 3, ({worthByClass}) => worthByClass.order!],
	['search', 3, ({worthByClass}) => worthByClass.search!],
	['refused', 3, ({refused}) => refused],
	['failed', 3, ({failed}) => failed],
	['tries', 2, ({tries}) => tries],
	['reftries', 3, ({refusedTries}) => refusedTries],
	['again', 3, ({refusedAgain}) => refusedAgain],
	['lost', 3, ({lostRuns}) => lostRuns],
	['latest', 3, ({lateStarts}) => lateStarts],
	['cores', 3, ({meanCores}) => meanCores],
	['max', 3, ({maxCores}) => maxCores],
];

/**
 * Formats the means of runs as a row of a table; the heads of the columns when
 * there are no runs.
 *
 * @param name - name of the decisions
 * @param load - offered load
 * @param results - results of runs with different seeds
 * @returns the row
 */
export function formatShortage(
	name: string,
	load: string,
	results: readonly ShortageResult[],
): string {
	const cells = columns.map(([head, digits, read]) => {
		const total = results.reduce((sum, result) => sum + read(result), 0);
		const text =
			results.length === 0 ? head : (total / results.length).toFixed(digits);
		return text.padStart(width);
	});
	const loadHead = results.length === 0 ? 'load' : load;
	return `${name.padEnd(nameWidth)}${loadHead.padStart(5)}${cells.join('')}`;
}
