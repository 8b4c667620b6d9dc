import {createScheduler} from '../../harness/create-scheduler.js';
import {computePercentile} from './compute-percentile.js';
import type {ConfigPhase, PhasePlan} from './measure-config-fleet.js';

/** Options of `simulateGossip`. */
export type GossipOptions = {
	readonly nodes: number;
	readonly seed: number;
	/** Random nodes to which a node pushes what is new to it. */
	readonly fanOut: number;
	/** Size of a change, bytes. */
	readonly changeBytes: number;
	/** Headers of one call both ways, bytes. */
	readonly headerBytes: number;
};

type SimulatedNode = {
	readonly seenAt: Map<number, number>;
	bytes: number;
};

const linkMs = 0.5;
const handlingMs = 1;
const compareIntervalMs = 1000;
const msPerSecond = 1000;

/**
 * Simulates gossip push with a comparison of versions once a second, in
 * virtual time. Two nodes read the platform and are the first to know.
 *
 * @param options - see `GossipOptions`
 * @param plan - the phase; restarted nodes lose what they have seen
 * @returns the figures; processor time and memory are not simulated
 * @example
 * simulateGossip({nodes: 10, seed: 1, ...rest}, plan).convergenceMs.p99;
 */
export function simulateGossip(
	options: GossipOptions,
	plan: PhasePlan,
): ConfigPhase {
	const scheduler = createScheduler(options.seed);
	const {now, random} = scheduler;
	const nodes = Array.from({length: options.nodes}, (): SimulatedNode => ({
		seenAt: new Map(),
		bytes: 0,
	}));
	const acceptedAt = new Map<number, number>();

	function pickNode(): SimulatedNode {
		return nodes[Math.floor(random() * nodes.length)]!;
	}

	function computeDelay(): number {
		return linkMs - Math.log(1 - random()) * handlingMs;
	}

	function call(
		from: SimulatedNode,
		to: SimulatedNode,
		bytes: number,
		action: () => void,
	): void {
		from.bytes += bytes;
		to.bytes += bytes;
		scheduler.schedule(computeDelay(), action);
	}

	function receive(node: SimulatedNode, change: number): void {
		if (node.seenAt.has(change)) {
			return;
		}

		node.seenAt.set(change, now());
		for (let push = 0; push < options.fanOut; push++) {
			const other = pickNode();
			call(node, other, options.headerBytes + options.changeBytes, () => {
				receive(other, change);
			});
		}
	}

	function compare(node: SimulatedNode): void {
		const other = pickNode();
		const missing = [...other.seenAt.keys()].filter(
			(change) => !node.seenAt.has(change),
		);
		const bytes = options.headerBytes + missing.length * options.changeBytes;
		call(node, other, bytes, () => {
			for (const change of missing) {
				receive(node, change);
			}
		});
		scheduler.schedule(compareIntervalMs, () => {
			compare(node);
		});
	}

	const changes = Math.round(plan.rate * plan.seconds);
	for (let change = 1; change <= changes; change++) {
		scheduler.schedule(((change - 1) * msPerSecond) / plan.rate, () => {
			acceptedAt.set(change, now());
			for (const root of nodes.slice(-2)) {
				scheduler.schedule(computeDelay(), () => {
					receive(root, change);
				});
			}
		});
	}

	for (const node of nodes) {
		scheduler.schedule(random() * compareIntervalMs, () => {
			compare(node);
		});
	}

	for (const node of nodes.slice(0, options.nodes * plan.restartShare)) {
		scheduler.schedule(random() * plan.seconds * msPerSecond, () => {
			node.seenAt.clear();
		});
	}

	const seconds = plan.seconds + 5;
	scheduler.runUntil(seconds * msPerSecond);
	const times = nodes.flatMap(({seenAt}) =>
		[...seenAt].map(([change, at]) => at - acceptedAt.get(change)!),
	);
	const rates = nodes.map(({bytes}) => bytes / seconds);
	return {
		phase: plan.phase,
		seconds,
		changes,
		convergenceMs: {
			p50: computePercentile(times, 50),
			p99: computePercentile(times, 99),
			max: computePercentile(times, 100),
			missing: nodes.length * changes - times.length,
		},
		meanNodeBytesPerSecond:
			rates.reduce((sum, rate) => sum + rate, 0) / rates.length,
		busiestNodeBytesPerSecond: Math.max(...rates),
		platformCallsPerSecond: 2 / 10 + 2 * plan.rate,
		cpuMsPerSecond: 0,
		meanRssBytes: 0,
	};
}
