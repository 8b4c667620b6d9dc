import type {ShortageDecisions} from './shortage-decisions.js';

/** A forwarder that admits all and picks the host with the fewest own requests. */
export const plainDecisions: ShortageDecisions = {
	name: 'plain',
	createAdmission: () => ({
		decideCaller: () => true,
		decideGate: () => true,
		computeRetryAfterMs: () => 0,
	}),
	pickHost({candidates, records, random}) {
		const ranked = candidates.map((candidate) => ({
			candidate,
			load: records.get(candidate.host)?.ownInFlight ?? 0,
			order: random(),
		}));
		return ranked.toSorted((a, b) => a.load - b.load || a.order - b.order)[0]
			?.candidate;
	},
	deferredMs: 0,
	acceptsPerTurn: 1,
	releasesPerTurn: 4,
	hasGateAdmission: false,
	hasRetries: false,
};
