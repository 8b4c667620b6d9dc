import {createQuotaFleet} from '../harness/create-quota-fleet.js';
import {createQuotaNode} from '../src/transport/_lib/create-quota-node.js';
import {createShareNode, type DemandTable} from './_lib/create-share-node.js';

const sizes = [10, 100, 1000];
const designs = ['home', 'equal', 'gossip'] as const;
const cases = ['calm', 'skewed', 'hot', 'cut'] as const;

type Design = (typeof designs)[number];
type Case = (typeof cases)[number];

const tenant = {name: 'a', keys: [], ratePerSecond: 393, burst: 393};
const usualRatio = 0.62;
const hotRatio = 7;
const durationMs = 20_000;
const warmUpMs = 5000;
const windowMs = 5000;
const msPerSecond = 1000;

/** Messages a node and second of shares that follow demand: one exchange a second, both ways. */
const gossipMessages = 2;

function countMaxInWindow(times: readonly number[]): number {
	let first = 0;
	let max = 0;
	for (const [index, at] of times.entries()) {
		while (times[first]! <= at - windowMs) {
			first++;
		}

		max = Math.max(max, index - first + 1);
	}

	return max;
}

/** Simulates one design in one case. */
function simulateQuota(design: Design, name: Case, nodes: number) {
	const demands: DemandTable = new Map();
	const {ratePerSecond, burst} = tenant;
	const fleet = createQuotaFleet({
		seed: 9,
		nodes,
		tenants: [tenant],
		createNode(options) {
			switch (design) {
				case 'home': {
					return createQuotaNode(options);
				}

				case 'equal': {
					return createShareNode(options);
				}

				case 'gossip': {
					return createShareNode(options, demands);
				}
			}
		},
	});
	const offered = ratePerSecond * usualRatio * (name === 'hot' ? hotRatio : 1);
	fleet.offer('a', offered, {nodes: name === 'skewed' ? nodes / 10 : nodes});
	fleet.runUntil(warmUpMs);
	if (name === 'cut') {
		// Demand rises to more than the quota on both sides.
		fleet.cut(nodes / 2);
		fleet.offer('a', ratePerSecond * 2);
	}

	fleet.runUntil(durationMs);
	const used = fleet.readUsed('a');
	const quota = (ratePerSecond * windowMs) / msPerSecond + burst;
	const seconds = (durationMs - warmUpMs) / msPerSecond;
	const usable =
		(name === 'cut' ? ratePerSecond : Math.min(offered, ratePerSecond)) *
		seconds;
	const ran = used.filter((at) => at >= warmUpMs).length;
	const messages =
		design === 'gossip'
			? gossipMessages
			: (fleet.readMessages() / nodes / durationMs) * msPerSecond;
	return {
		nodes,
		case: name,
		design,
		'largest window / quota': Number(
			(countMaxInWindow(used) / quota).toFixed(3),
		),
		'lost below the quota': Number(Math.max(0, 1 - ran / usable).toFixed(3)),
		'messages / node and s': Number(messages.toFixed(2)),
	};
}

/**
 * Compares ways to hold a tenant to its quota over all nodes, on simulated time:
 * a home that grants tokens, equal shares, and shares that follow demand. The
 * bound of a window is 1.1 times the quota and 20 requests.
 */
export async function benchQuotas(): Promise<void> {
	const rows = sizes.flatMap((nodes) =>
		cases.flatMap((name) =>
			designs.map((design) => simulateQuota(design, name, nodes)),
		),
	);
	console.table(rows);
}
