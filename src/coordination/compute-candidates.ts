import {referenceCapacity, referenceLinkMbps} from '../protocol/constants.js';
import type {Candidate, Member} from '../protocol/member.js';

/** Confidence in a member's record; lower is better. */
type Tier = 0 | 1 | 2;

function computeTier(
	member: Member,
	unreachable: ReadonlySet<string>,
): Tier | undefined {
	if (member.state === 'dead' || member.state === 'left') {
		return undefined;
	}

	if (unreachable.has(member.dataCentre)) {
		return 2;
	}

	return member.state === 'suspect' ? 1 : 0;
}

/** Computes the link rate, Mbit/s: a lower bound derived from the capacity relative to a usual host. */
function computeLinkRate(capacity: number): number {
	return (capacity / referenceCapacity) * referenceLinkMbps;
}

function mergeVersions(
	known: readonly string[] | undefined,
	version: string | undefined,
): readonly string[] | undefined {
	return version === undefined || known?.includes(version)
		? known
		: [...(known ?? []), version];
}

function listOwnCandidates(
	member: Member,
): ReadonlyArray<readonly [string, Candidate]> {
	const {name, address, dataCentre, capacity} = member;
	const byService = new Map<string, Candidate>();
	for (const {state, service, slots, since, version} of member.upstreams) {
		if (state === 'ready') {
			const known = byService.get(service);
			const versions = mergeVersions(known?.versions, version);
			byService.set(service, {
				host: name,
				address,
				dataCentre,
				slots: (known?.slots ?? 0) + slots,
				sinceMs: Math.min(known?.sinceMs ?? Infinity, since),
				...(capacity !== undefined && {linkMbps: computeLinkRate(capacity)}),
				...(versions && {versions}),
			});
		}
	}

	return [...byService];
}

/**
 * Computes, for each service, the hosts that have a ready upstream of it.
 *
 * Suspected hosts are listed only if a service has no live host, and hosts of
 * unreachable data centres only if it has neither.
 *
 * @param members - known members
 * @param unreachable - data centres that are unreachable from the own one
 * @returns candidates by full service name
 * @example
 * computeCandidates([]).size; // 0
 */
export function computeCandidates(
	members: readonly Member[],
	unreachable: ReadonlySet<string> = new Set(),
): ReadonlyMap<string, readonly Candidate[]> {
	const byService = new Map<string, Candidate[]>();
	const tiers = new Map<string, Tier>();
	for (const member of members) {
		const tier = computeTier(member, unreachable);
		if (tier === undefined) {
			continue;
		}

		for (const [service, candidate] of listOwnCandidates(member)) {
			const best = tiers.get(service) ?? 2;
			if (tier < best || !byService.has(service)) {
				tiers.set(service, tier);
				byService.set(service, [candidate]);
			} else if (tier === best) {
				byService.get(service)!.push(candidate);
			}
		}
	}

	return byService;
}
