import {msPerSecond} from '../../protocol/constants.js';
import type {RolloutDirective} from '../../protocol/rollout.js';
import {computeEvidence, type CountTable} from './compute-evidence.js';
import {decideRollout, type RolloutDecision} from './decide-rollout.js';
import type {RouteEvidence} from './decide-verdict.js';

type Snapshot = {readonly at: number; readonly counts: CountTable};

/** An order as its leader knows it. */
export type RolloutProgress = {
	/** The current directive; its `remainingMs` is that at `directiveAt`. */
	readonly directive: RolloutDirective;
	/** When the order was first seen, monotonic ms; before the start of a leader that took it over. */
	readonly seenAt: number;
	/** When the directive first sent all requests to the target, monotonic ms. */
	readonly fullSince: number | undefined;
	/** When the target was first seen to answer, monotonic ms. */
	readonly answeredSince: number | undefined;
	/** Counts at earlier times, the earliest first. */
	readonly snapshots: readonly Snapshot[];
};

/** What a step of an order depends on. */
export type RolloutInput = {
	/** Monotonic ms. */
	readonly now: number;
	readonly counts: CountTable;
	/** Number of hosts with a ready upstream of the target. */
	readonly targetHosts: number;
	/** Whether most nodes have reported of late. */
	readonly isInformed: boolean;
};

/** Lengths of the periods that are judged, ms: a short one finds a version that turns bad, a long one rare failures. */
const periodsMs = [2, 6, 20].map((seconds) => seconds * msPerSecond);
const retentionMs = Math.max(...periodsMs);

/** Time from its first response in which the target may be slow because it is cold, ms. */
const warmUpMs = 3 * msPerSecond;

/** Minimum number of hosts of a canary: the worst one is not judged, and two others give twice the evidence of one. */
const minCanaryHosts = 3;

function findStart(
	snapshots: readonly Snapshot[],
	at: number,
): Snapshot | undefined {
	return snapshots.findLast((snapshot) => snapshot.at <= at) ?? snapshots[0];
}

function hasAnswered(evidence: readonly RouteEvidence[]): boolean {
	return evidence.some(({target}) =>
		target.some(({responses}) => responses > 0),
	);
}

function computeTargetHosts(
	share: number,
	targetHosts: number,
): number | undefined {
	return share < 1
		? Math.max(minCanaryHosts, Math.round(share * targetHosts))
		: undefined;
}

function applyDecision(
	directive: RolloutDirective,
	decision: RolloutDecision,
	targetHosts: number,
): RolloutDirective {
	switch (decision.kind) {
		case 'complete': {
			const {hosts, ...rest} = directive;
			return {...rest, state: 'completed', share: 1};
		}

		case 'roll-back': {
			return {...directive, state: 'rolled-back', share: 0};
		}

		case 'serve': {
			const {hosts: before, ...rest} = directive;
			const hosts = computeTargetHosts(decision.share, targetHosts);
			return {
				...rest,
				share: decision.share,
				...(hosts !== undefined && {hosts}),
			};
		}
	}
}

/**
 * Steps an active order: judges the target by the counts of all nodes and decides
 * on the share of the requests that it gets.
 *
 * @param before - progress before
 * @param input - see `RolloutInput`
 * @returns the progress, with a higher sequence if the directive has changed, and the decision
 * @example
 * stepRollout(progress, input).decision.kind; // 'serve'
 */
export function stepRollout(
	before: RolloutProgress,
	{now, counts, targetHosts, isInformed}: RolloutInput,
): {readonly progress: RolloutProgress; readonly decision: RolloutDecision} {
	const {directive, seenAt, fullSince, snapshots} = before;
	const {service, target, durationMs, share} = directive;
	const compared = {service, target};
	const earliest = snapshots[0]?.counts ?? new Map();
	const whole = computeEvidence(earliest, counts, compared);
	const answeredSince =
		before.answeredSince ?? (hasAnswered(whole) ? now : undefined);
	const warmAt = (answeredSince ?? now) + warmUpMs;
	const periods: Array<readonly RouteEvidence[]> = [whole];
	const warmPeriods: Array<readonly RouteEvidence[]> = [];
	for (const periodMs of periodsMs) {
		const from = now - periodMs;
		const start = findStart(snapshots, from)?.counts ?? earliest;
		periods.push(computeEvidence(start, counts, compared));
		const warm = findStart(snapshots, Math.max(from, warmAt));
		if (now > warmAt && warm) {
			warmPeriods.push(computeEvidence(warm.counts, counts, compared));
		}
	}

	const decision = decideRollout({
		elapsedMs: now - seenAt,
		durationMs,
		share,
		fullMs: fullSince === undefined ? 0 : now - fullSince,
		targetHosts,
		isInformed,
		periods,
		warmPeriods,
	});
	const next = applyDecision(directive, decision, targetHosts);
	const hasChanged =
		next.state !== directive.state ||
		next.share !== share ||
		next.hosts !== directive.hosts;
	const kept = snapshots.filter(
		({at}, index) => index === 0 || at >= now - retentionMs - msPerSecond,
	);
	return {
		decision,
		progress: {
			directive: {
				...next,
				sequence: directive.sequence + (hasChanged ? 1 : 0),
				remainingMs: seenAt + durationMs - now,
			},
			seenAt,
			fullSince: next.share === 1 ? (fullSince ?? now) : undefined,
			answeredSince,
			snapshots: [...kept, {at: now, counts}],
		},
	};
}
