import {parseArgs} from 'node:util';
import {sheddingScenarios} from './_lib/shedding/shedding-scenarios.js';
import type {SheddingPolicy} from './_lib/shedding/shedding-parameters.js';
import {simulateShedding} from './_lib/shedding/simulate-shedding.js';

const policies: readonly SheddingPolicy[] = ['queue', 'before', 'after'];

function formatShare(share: number): string {
	return share.toFixed(3);
}

/**
 * Replays load patterns and prints, for each set of decisions, the worth kept in
 * all and by kind, and the share of the runs that were lost to their calls.
 *
 * @param argv - options: `--scenario` (its name), `--seed`
 * @example
 * await benchShedding(['--seed', '2']);
 */
export async function benchShedding(argv: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...argv],
		options: {scenario: {type: 'string'}, seed: {type: 'string', default: '1'}},
	});
	const {scenario: only = ''} = values;
	console.log('scenario               decisions  worth  lost   by kind');
	for (const scenario of sheddingScenarios) {
		if (only !== '' && scenario.name !== only) {
			continue;
		}

		for (const policy of policies) {
			const result = simulateShedding(scenario, policy, Number(values.seed));
			const byKind = [...result.byKind]
				.map(([name, {worth}]) => `${name} ${formatShare(worth)}`)
				.join('  ');
			const cells = [
				scenario.name.padEnd(22),
				policy.padEnd(10),
				formatShare(result.worth),
				' ',
				formatShare(result.lostRuns),
				' ',
				byKind,
			];
			console.log(cells.join(''));
		}
	}
}
