import {computeStage} from './compute-stage.js';
import {
	decideVerdict,
	type RouteEvidence,
	type Verdict,
} from './decide-verdict.js';

/** What is known of an active order when it is decided on. */
export type RolloutFacts = {
	/** Time since the order was first seen, ms. */
	readonly elapsedMs: number;
	readonly durationMs: number;
	/** Probability with which requests go to the target now. */
	readonly share: number;
	/** Time for which it has been 1, ms; 0 when it is not. */
	readonly fullMs: number;
	/** Number of hosts that have a ready upstream of the target. */
	readonly targetHosts: number;
	/** Whether most nodes have reported of late, so that trouble would be seen. */
	readonly isInformed: boolean;
	/** Evidence of several periods up to now. */
	readonly periods: ReadonlyArray<readonly RouteEvidence[]>;
	/** Evidence of periods in which the target was no longer cold. */
	readonly warmPeriods: ReadonlyArray<readonly RouteEvidence[]>;
};

/** What is decided for an active order. */
export type RolloutDecision =
	| {readonly kind: 'complete'}
	| {
			readonly kind: 'roll-back';
			readonly cause: 'failing' | 'slow' | 'no-target';
			readonly verdict: Verdict;
	  }
	| {readonly kind: 'serve'; readonly share: number};

/**
 * Probability below which bad responses end a roll-out. It is tested some hundred
 * times for each order; the tolerances of `decideVerdict` make the real
 * probability far lower. With 1e-7, a bad version of a rare route was not found in
 * 27 s.
 */
const endSignificance = 1e-4;

/** Probability below which they hold it up. */
const holdSignificance = 1e-2;

/** Time with all traffic at the target before it may complete, ms: a report, a directive and responses of both. */
const minFullMs = 1000;

/** Time before the deadline at which a roll-out without a target is given up, ms. */
const giveUpMs = 500;

const good: Verdict = {kind: 'good'};

function findBad(facts: RolloutFacts, significance: number): Verdict {
	const {periods, warmPeriods} = facts;
	const verdicts = [
		...periods.map((period) => decideVerdict(period, 'failing', significance)),
		...warmPeriods.map((period) => decideVerdict(period, 'slow', significance)),
	];
	return verdicts.find(({kind}) => kind === 'bad') ?? good;
}

/** Tells whether the target gets most of the requests of the shortest period; nodes that follow another leader may send it none. */
function isServing({periods: [, recent = []]}: RolloutFacts): boolean {
	let old = 0;
	let served = 0;
	for (const evidence of recent) {
		old += evidence.old.responses;
		for (const {responses} of evidence.target) {
			served += responses;
		}
	}

	return served >= old;
}

/**
 * Decides how an active roll-out goes on: a canary, then a ramp near the deadline,
 * unless the target is worse than the old version.
 *
 * @param facts - see `RolloutFacts`
 * @returns the decision
 * @example
 * decideRollout(facts).kind; // 'serve'
 */
export function decideRollout(facts: RolloutFacts): RolloutDecision {
	const {elapsedMs, durationMs, share, fullMs, isInformed} = facts;
	const verdict = findBad(facts, endSignificance);
	if (verdict.kind === 'bad') {
		return {kind: 'roll-back', cause: verdict.cause, verdict};
	}

	if (facts.targetHosts === 0) {
		return elapsedMs >= durationMs - giveUpMs
			? {kind: 'roll-back', cause: 'no-target', verdict}
			: {kind: 'serve', share};
	}

	const stage = computeStage(elapsedMs, durationMs);
	const isHeld = !isInformed || findBad(facts, holdSignificance).kind === 'bad';
	if (stage.isDue && fullMs >= minFullMs && !isHeld && isServing(facts)) {
		return {kind: 'complete'};
	}

	return {
		kind: 'serve',
		share: isHeld ? Math.min(share, stage.share) : stage.share,
	};
}
