import type {FaultResult} from './fault-case.js';

type Row = {cases: number; failed: number; seeds: string[]};

const maxSeedsShown = 5;

/**
 * Formats results of the fault matrix as a table.
 *
 * @param results - results of cases
 * @returns tab-separated table, one line for each combination of faults and
 *   step, with the first seeds that failed
 * @example
 * console.log(formatFaultMatrix(runFaultCases(cases)));
 */
export function formatFaultMatrix(results: readonly FaultResult[]): string {
	const rows = new Map<string, Row>();
	for (const {faultCase, violations} of results) {
		const {area, faults, step, seed} = faultCase;
		const key = `${area}\t${faults.join('+')}\t${step}`;
		const row = rows.get(key) ?? {cases: 0, failed: 0, seeds: []};
		row.cases++;
		if (violations.length > 0) {
			row.failed++;
			row.seeds.push(`${seed} (${violations[0]})`);
		}

		rows.set(key, row);
	}

	const lines = [...rows].map(
		([key, {cases, failed, seeds}]) =>
			`${key}\t${cases}\t${cases - failed}\t${failed}\t${seeds.slice(0, maxSeedsShown).join('; ')}`,
	);
	return ['area\tfault\tstep\tcases\tpassed\tfailed\tseeds', ...lines].join(
		'\n',
	);
}
