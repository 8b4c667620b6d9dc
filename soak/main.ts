/**
 * Runs the soak with a series of seeds: `npm run soak -- --seed 1 --count 50`.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runSoak} from './run-soak.js';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		profile: {type: 'string', default: 'all'},
		count: {type: 'string', default: '1'},
		hosts: {type: 'string', default: '5'},
		seconds: {type: 'string', default: '20'},
		gap: {type: 'string', default: '700'},
		network: {type: 'string', default: '90.1'},
	},
});
const first = Number(values.seed);
for (let seed = first; seed < first + Number(values.count); seed++) {
	const {problems, ...figures} = await runSoak({
		seed,
		profile: values.profile === 'planned' ? 'planned' : 'all',
		hosts: Number(values.hosts),
		durationMs: Number(values.seconds) * 1000,
		meanGapMs: Number(values.gap),
		network: values.network,
	});
	console.log(JSON.stringify({seed, ...figures, problems: problems.length}));
	for (const problem of problems.slice(0, 10)) {
		console.log(`  ${problem}`);
	}

	process.exitCode = problems.length > 0 ? 1 : process.exitCode;
}
