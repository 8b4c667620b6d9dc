import {parseArgs} from 'node:util';
import {
	comparePolicies,
	type PolicyComparison,
} from './_lib/compare-policies.js';
import {measureAddedTime, type AddedTime} from './_lib/measure-added-time.js';
import {measureOverload} from './_lib/measure-overload.js';
import {readRunContext} from './_lib/read-machine.js';
import {writeMeasurement} from './_lib/write-measurement.js';

const seed = 1;
const chosen = 'chosen';

function printAdded(added: readonly AddedTime[]): void {
	for (const {depth, share, p50, p99, p99Rounds, cpuMsPerRequest} of added) {
		const low = Math.min(...p99Rounds).toFixed(2);
		const high = Math.max(...p99Rounds).toFixed(2);
		const {callerNode, gateNode} = cpuMsPerRequest;
		console.log(
			`added ms, depth ${depth}, ${share === 0 ? 'one at a time' : `${share * 100} % of the slots`}: p50 ${p50.toFixed(2)} p99 ${p99.toFixed(2)} (rounds ${low}..${high}); processor ms a call: caller's node ${callerNode.toFixed(2)}, gates ${gateNode.toFixed(2)}`,
		);
	}
}

function printPolicies(policies: readonly PolicyComparison[]): void {
	console.log(
		'policies: simulated in virtual time over the pure decisions, no processes',
	);
	for (const {scenario, policy, figures} of policies) {
		const fields = Object.entries(figures).map(
			([name, {mean, plusMinus}]) =>
				`${name} ${mean.toFixed(3)} ± ${plusMinus.toFixed(3)}`,
		);
		console.log([scenario, policy, ...fields].join('\t'));
	}
}

function createLastLine(
	added: readonly AddedTime[],
	policies: readonly PolicyComparison[],
	isolation: {quietP99Alone: number; quietP99BesideNoisy: number},
) {
	const addedMs = Object.fromEntries(
		added
			.filter(({share}) => share === 0)
			.map(({depth, p50, p99}) => [`depth${depth}`, {p50, p99}]),
	);
	const overload = Object.fromEntries(
		policies
			.filter(({scenario}) => scenario === 'overload')
			.map(({policy, figures: {inTime, p99Ms, wasted}}) => [
				policy,
				{inTime: inTime.mean, p99Ms: p99Ms.mean, wasted: wasted.mean},
			]),
	);
	const {quietP99Alone, quietP99BesideNoisy} = isolation;
	return {
		bench: 'requests',
		addedMs,
		overload,
		isolation: {quietP99Alone, quietP99BesideNoisy},
		chosen,
	};
}

/**
 * Measures requests: `npm run bench -- requests [--quick]`.
 *
 * Added time, overload and isolation are measured with real processes; the
 * comparison of policies is a simulation. Everything is stored in
 * `bench/measurements/requests.json`.
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
	const isQuick = values.quick;
	const command = ['npm run bench -- requests', ...argv].join(' ');
	const before = readRunContext(command, seed);
	console.log(`load average ${before.loadAverage.join(' ')}`);
	const added = await measureAddedTime({
		depths: [1, 3, 6],
		shares: isQuick ? [0] : [0, 0.5, 0.9],
		rounds: isQuick ? 3 : 6,
		phaseMs: 1000,
		serviceMs: 1,
		hostsPerService: 2,
		seed,
	});
	printAdded(added);
	const {overload, isolation} = await measureOverload({
		rounds: isQuick ? 2 : 3,
		phaseMs: 2000,
		seed,
	});
	const policies = comparePolicies(
		isQuick ? [1, 2] : [1, 2, 3],
		isQuick ? 1 : 3,
	);
	printPolicies(policies);
	const lastLine = createLastLine(added, policies, isolation);
	const {loadAverage} = readRunContext(command, seed);
	await writeMeasurement('requests', {
		context: {...before, loadAverageAfter: loadAverage},
		...lastLine,
		cpuMsPerRequest: added[0]?.cpuMsPerRequest,
		added,
		overloadMeasured: overload,
		isolationMeasured: isolation,
		policies,
	});
	console.log(JSON.stringify(lastLine));
}
