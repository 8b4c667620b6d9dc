import {spawn} from 'node:child_process';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {resolveProgram} from '../../harness/resolve-program.js';
import {
	loadReportSchema,
	type LoadPlanInput,
	type StreamReport,
} from './load-plan.js';

/**
 * Runs a plan in a load generator process of its own.
 *
 * @param plan - see `loadPlanSchema`
 * @returns the report of each stream by its label
 * @throws when the process does not print a report
 * @example
 * (await runLoad(plan)).get('direct')?.p99Ms;
 */
export async function runLoad(
	plan: LoadPlanInput,
): Promise<ReadonlyMap<string, StreamReport>> {
	const child = spawn(
		process.execPath,
		[resolveProgram('load'), JSON.stringify(plan)],
		{stdio: ['ignore', 'pipe', 'inherit']},
	);
	const reports = loadReportSchema.parse(JSON.parse(await text(child.stdout)));
	return new Map(reports.map((report) => [report.label, report]));
}
