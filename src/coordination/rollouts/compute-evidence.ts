import {timeBuckets, type VersionCount} from '../../protocol/rollout.js';
import type {ResponseCounts, RouteEvidence} from './decide-verdict.js';

/** Cumulative counts of each node process, by its name and incarnation. */
export type CountTable = ReadonlyMap<string, readonly VersionCount[]>;

/** Service and versions that are compared. */
export type ComparedVersions = {
	readonly service: string;
	readonly target: string;
};

const noTimes: readonly number[] = Array.from({length: timeBuckets}, () => 0);
const noCounts: ResponseCounts = {responses: 0, failures: 0, times: noTimes};

function subtractCounts(
	after: ResponseCounts,
	before: ResponseCounts = noCounts,
): ResponseCounts {
	// A node that has started to count anew has lower counts than before.
	const base = after.responses < before.responses ? noCounts : before;
	return {
		responses: after.responses - base.responses,
		failures: Math.max(0, after.failures - base.failures),
		times: noTimes.map((_, index) =>
			Math.max(0, (after.times[index] ?? 0) - (base.times[index] ?? 0)),
		),
	};
}

function addCounts(a: ResponseCounts, b: ResponseCounts): ResponseCounts {
	return {
		responses: a.responses + b.responses,
		failures: a.failures + b.failures,
		times: noTimes.map(
			(_, index) => (a.times[index] ?? 0) + (b.times[index] ?? 0),
		),
	};
}

/**
 * Computes what each route has shown at the old version and at each host of the
 * target between two states of the counts.
 *
 * @param before - counts at the start of the period
 * @param after - counts at its end
 * @param compared - see `ComparedVersions`; every version but the target is an old one
 * @returns the evidence of each route with responses
 * @example
 * computeEvidence(new Map(), new Map(), {service: 'a', target: 'v2'}); // []
 */
export function computeEvidence(
	before: CountTable,
	after: CountTable,
	{service, target}: ComparedVersions,
): readonly RouteEvidence[] {
	const routes = new Map<
		string,
		{old: ResponseCounts; readonly target: ResponseCounts[]}
	>();
	for (const [node, counts] of after) {
		const earlier = before.get(node) ?? [];
		for (const count of counts) {
			if (count.service !== service) {
				continue;
			}

			const {route, version} = count;
			const base = earlier.find(
				(other) =>
					other.service === service &&
					other.route === route &&
					other.version === version,
			);
			const difference = subtractCounts(count, base);
			const evidence = routes.get(route) ?? {old: noCounts, target: []};
			routes.set(route, evidence);
			if (version === target) {
				evidence.target.push(difference);
			} else {
				evidence.old = addCounts(evidence.old, difference);
			}
		}
	}

	return [...routes].map(([route, evidence]) => ({route, ...evidence}));
}
