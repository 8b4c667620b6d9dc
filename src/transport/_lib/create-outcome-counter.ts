import type {Counter} from 'prom-client';
import type {OutcomeKind, OutcomeReason} from '../../protocol/request.js';

/** Counts outcomes, and adds them to a counter when that is read. */
export type OutcomeCounter = {
	count(
		owner: string,
		outcome: OutcomeKind,
		reason: OutcomeReason | 'none' | undefined,
	): void;
	/** Adds what was counted since the last call to the counter. */
	report(): void;
};

/** Number of outcomes with the same labels that are not reported yet. */
type Tally = {
	readonly labels: Readonly<Record<string, string>>;
	count: number;
};

/**
 * Creates a counter of outcomes whose increments cost a request little: the
 * counter of `prom-client` builds a key from the names and values of all labels
 * each time.
 *
 * @param counter - the counter to which outcomes are added
 * @param fixedLabels - further labels, the same for all outcomes that are counted here; none by default
 * @param ownerLabel - label by whose value outcomes are told apart; `service` by default
 * @returns the counter of outcomes
 */
export function createOutcomeCounter(
	counter: Counter,
	fixedLabels: Readonly<Record<string, string>> = {},
	ownerLabel = 'service',
): OutcomeCounter {
	const tallies = new Map<string, Map<string, Map<string, Tally>>>();

	function addTally(owner: string, outcome: string, reason: string): Tally {
		const tally = {
			labels: {[ownerLabel]: owner, outcome, reason, ...fixedLabels},
			count: 0,
		};
		const outcomes =
			tallies.get(owner) ?? new Map<string, Map<string, Tally>>();
		const reasons = outcomes.get(outcome) ?? new Map<string, Tally>();
		tallies.set(owner, outcomes.set(outcome, reasons.set(reason, tally)));
		return tally;
	}

	return {
		count(owner, outcome, reason = 'none') {
			const tally =
				tallies.get(owner)?.get(outcome)?.get(reason) ??
				addTally(owner, outcome, reason);
			tally.count++;
		},
		report() {
			for (const outcomes of tallies.values()) {
				for (const reasons of outcomes.values()) {
					for (const tally of reasons.values()) {
						counter.inc(tally.labels, tally.count);
						tally.count = 0;
					}
				}
			}
		},
	};
}
