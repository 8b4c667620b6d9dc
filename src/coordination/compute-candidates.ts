import type {Candidate, Member} from '../protocol/member.js';

/**
 * Computes, for each service, the hosts that have a ready upstream of it.
 *
 * @param members - known members; only live and suspected ones count
 * @returns candidates by full service name
 * @example
 * computeCandidates([]).size; // 0
 */
export function computeCandidates(
	members: readonly Member[],
): ReadonlyMap<string, readonly Candidate[]> {
	const byService = new Map<string, Candidate[]>();
	for (const member of members) {
		if (member.state === 'dead' || member.state === 'left') {
			continue;
		}

		const slotsByService = new Map<string, number>();
		for (const upstream of member.upstreams) {
			if (upstream.state === 'ready') {
				const slots = slotsByService.get(upstream.service) ?? 0;
				slotsByService.set(upstream.service, slots + upstream.slots);
			}
		}

		for (const [service, slots] of slotsByService) {
			const candidates = byService.get(service) ?? [];
			candidates.push({
				host: member.name,
				address: member.address,
				dataCentre: member.dataCentre,
				slots,
				sinceMs: Math.min(
					...member.upstreams
						.filter((upstream) => upstream.service === service)
						.map(({since}) => since),
				),
			});
			byService.set(service, candidates);
		}
	}

	return byService;
}
