import {parseArgs} from 'node:util';
import {
	simulateShortage,
	type ShortageResult,
} from './_lib/simulate-shortage.js';
import {disturbedDay} from './_lib/shortage/disturbed-day.js';
import {formatShortage} from './_lib/shortage/format-shortage.js';
import {plainDecisions} from './_lib/shortage/plain-decisions.js';
import {productDecisions} from './_lib/shortage/product-decisions.js';
import {computeCosts} from './_lib/shortage/compute-costs.js';
import type {ShortageDecisions} from './_lib/shortage/shortage-decisions.js';
import {productCosts} from './_lib/shortage/shortage-parameters.js';
import {trialDecisions} from './_lib/shortage/trial-decisions.js';

/** Cost of the plain forwarder, as a ratio of the product's. */
const plainCost = 0.5;

function parseNumbers(text: string): readonly number[] {
	return text.split(',').map(Number);
}

function findDecisions(names: string): readonly ShortageDecisions[] {
	const known = [plainDecisions, productDecisions, ...trialDecisions];
	if (names === 'all') {
		return known;
	}

	return names.split(',').map((name) => {
		const found = known.find((decisions) => decisions.name === name);
		if (!found) {
			throw new Error(
				`unknown decisions ${name}: ${known.map((other) => other.name).join(', ')}`,
			);
		}

		return found;
	});
}

/**
 * Simulates a fleet that is short of processor time, and prints a row of figures
 * for each set of decisions and each load.
 *
 * @param argv - options: `--decisions`, `--load`, `--seed`, `--seconds`, `--cost`
 * (factor of all steps), `--refusal-cost` (further factor of refusals),
 * `--upstreams` (factor of their speed), `--share` (cores of a node), `--disturbed`
 * @example
 * await benchShortage(['--load', '0.5,1,2']);
 */
export async function benchShortage(argv: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...argv],
		options: {
			decisions: {type: 'string', default: 'plain,product'},
			load: {type: 'string', default: '0.5,0.75,1,1.5,2,3'},
			seed: {type: 'string', default: '1'},
			seconds: {type: 'string', default: '20'},
			cost: {type: 'string', default: '1'},
			'refusal-cost': {type: 'string', default: '1'},
			upstreams: {type: 'string', default: '2'},
			share: {type: 'string', default: '0.54'},
			disturbed: {type: 'boolean', default: false},
		},
	});
	const seeds = parseNumbers(values.seed);
	console.log(formatShortage('', '', []));
	for (const decisions of findDecisions(values.decisions)) {
		const isPlain = decisions === plainDecisions;
		const costs = computeCosts(productCosts, {
			all: isPlain ? plainCost : Number(values.cost),
			refusal: Number(values['refusal-cost']),
		});
		for (const load of parseNumbers(values.load)) {
			const results = seeds.map((seed): ShortageResult =>
				simulateShortage(
					decisions,
					costs,
					{
						...(values.disturbed && disturbedDay),
						load,
						seconds: Number(values.seconds),
						share: Number(values.share),
						upstreamFactor: Number(values.upstreams),
					},
					seed,
				),
			);
			console.log(formatShortage(decisions.name, String(load), results));
		}
	}
}
