import {parseArgs} from 'node:util';
import {measureAddedTime} from './_lib/measure-added-time.js';

/**
 * Measures requests: `npm run bench -- requests [--quick]`.
 *
 * @param argv - arguments of the command
 * @example
 * await benchRequests(['--quick']);
 */
export async function benchRequests(argv: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...argv],
		options: {quick: {type: 'boolean', default: false}},
	});
	const added = await measureAddedTime({
		depths: values.quick ? [1] : [1, 3, 6],
		shares: values.quick ? [0] : [0, 0.5, 0.9],
		rounds: 10,
		phaseMs: 1000,
		serviceMs: 1,
		hostsPerService: 2,
		seed: 1,
	});
	for (const {depth, share, p50, p99, cpuMsPerRequest} of added) {
		console.log(
			JSON.stringify({
				depth,
				share,
				p50,
				p99,
				cpuMsPerRequest,
				r: added[0]?.reports.map((x) => x.rounds.map((y) => y.p50Ms)),
			}),
		);
	}
}
