import {bucketsPerDoubling} from './compute-time-bucket.js';
import {computeBinomialTail} from './_lib/compute-binomial-tail.js';

/** Responses of one version on a route. */
export type ResponseCounts = {
	readonly responses: number;
	readonly failures: number;
	/** Responses by service time; see `computeTimeBucket`. */
	readonly times: readonly number[];
};

/** What a route has shown in the same period at both versions. */
export type RouteEvidence = {
	readonly route: string;
	readonly old: ResponseCounts;
	/** Responses of the target, for each of its hosts. */
	readonly target: readonly ResponseCounts[];
};

/** How a target version may be worse than the old one. */
export type VerdictCause = 'failing' | 'slow';

/** Whether the target version is worse than the old one. */
export type Verdict =
	| {readonly kind: 'good'}
	| {
			readonly kind: 'bad';
			readonly cause: VerdictCause;
			readonly route: string;
			readonly bad: number;
			readonly responses: number;
	  };

/** Responses that count as bad for a cause. */
type BadShare = {readonly bad: number; readonly responses: number};

/** Excess of the target's share of bad responses that is not held against it: the traffic of few hosts varies more than chance explains. */
const tolerances = {failing: 0.08, slow: 0.2} as const;

/** Share of bad responses that is assumed for the old version when it has too few responses on a route. */
const unknownShare = 0.3;
const minOldResponses = 20;

/** Standard errors by which the old version's share may be underestimated. */
const oldErrors = 3;

/** Number of buckets from the old version's median from which a response is slow: four times, as a slow host or data centre accounts for less than three times. */
const slowBuckets = 2 * bucketsPerDoubling;

/** Bad responses without which there is no verdict. */
const minBad = 5;

/** Minimum when only one host has answered, whose own fault it may be. */
const minBadOnOneHost = 20;

function sumCounts(counts: readonly number[]): number {
	let sum = 0;
	for (const count of counts) {
		sum += count;
	}

	return sum;
}

function findMedianBucket(times: readonly number[]): number {
	const total = sumCounts(times);
	let seen = 0;
	return times.findIndex((count) => {
		seen += count;
		return seen * 2 >= total && total > 0;
	});
}

function countBad(
	counts: ResponseCounts,
	cause: VerdictCause,
	median: number,
): BadShare {
	switch (cause) {
		case 'failing': {
			return {bad: counts.failures, responses: counts.responses};
		}

		case 'slow': {
			const slow = counts.times.slice(median + slowBuckets);
			return {
				bad: sumCounts(slow),
				responses: sumCounts(counts.times),
			};
		}
	}
}

/** Computes the highest share of bad responses that the old version explains. */
function computeExpectedShare(
	{bad, responses}: BadShare,
	cause: VerdictCause,
): number {
	if (responses < minOldResponses) {
		return unknownShare;
	}

	const share = (bad + 1) / (responses + 2);
	const error = Math.sqrt((share * (1 - share)) / responses);
	return Math.min(0.95, share + oldErrors * error + tolerances[cause]);
}

/** Sums the shares of all hosts but the worst one, whose own fault its bad responses may be. */
function sumWithoutWorst(shares: readonly BadShare[]): BadShare {
	const serving = shares
		.filter(({responses}) => responses > 0)
		.toSorted((a, b) => b.bad - a.bad);
	const counted = serving.length > 1 ? serving.slice(1) : serving;
	return {
		bad: sumCounts(counted.map(({bad}) => bad)),
		responses: sumCounts(counted.map(({responses}) => responses)),
	};
}

/**
 * Decides whether a target version is significantly worse than the old one on
 * any route.
 *
 * The test is binomial: how likely are this many bad responses if the target were
 * as good as the old version beside it? A few samples suffice when nearly half of
 * them are bad. The worst host is left out if there are others.
 *
 * @param evidence - what each route has shown
 * @param cause - what to test
 * @param significance - probability of the observation below which it is not chance
 * @returns the verdict, on the first bad route
 * @example
 * decideVerdict([], 'failing', 1e-6).kind; // 'good'
 */
export function decideVerdict(
	evidence: readonly RouteEvidence[],
	cause: VerdictCause,
	significance: number,
): Verdict {
	for (const {route, old, target} of evidence) {
		const median = findMedianBucket(old.times);
		if (cause === 'slow' && median === -1) {
			continue;
		}

		const shares = target.map((counts) => countBad(counts, cause, median));
		const {bad, responses} = sumWithoutWorst(shares);
		const servingHosts = shares.filter((share) => share.responses > 0).length;
		const expected = computeExpectedShare(countBad(old, cause, median), cause);
		if (
			bad >= (servingHosts > 1 ? minBad : minBadOnOneHost) &&
			bad / responses > expected &&
			computeBinomialTail(responses, bad, expected) < significance
		) {
			return {kind: 'bad', cause, route, bad, responses};
		}
	}

	return {kind: 'good'};
}
