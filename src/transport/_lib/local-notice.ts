/**
 * Keeps what the upstreams on the gate's host say of themselves in their answers.
 */
import {computeRateLimitWait} from '../../coordination/compute-rate-limit-wait.js';
import {stepRateLimit} from '../../coordination/step-rate-limit.js';
import type {UpstreamNotice} from '../../protocol/attempt.js';
import type {AnswerVerdict, UpstreamReport} from '../../protocol/edge.js';
import type {Announcement} from '../../protocol/member.js';
import type {LocalUpstream} from './local-upstream.js';

/** A report with what is known of its answer. */
export type ReceivedReport = {
	readonly report: UpstreamReport;
	readonly verdict: AnswerVerdict;
	/** When the request was sent, monotonic ms. */
	readonly sentAt: number;
};

/**
 * Tells whether two announcements under one identifier are of the same life of
 * an upstream. A life that is not named may be any.
 */
export function isSameIncarnation(
	{address, incarnation}: Announcement,
	other: Announcement,
): boolean {
	return (
		address === other.address &&
		(incarnation === undefined ||
			other.incarnation === undefined ||
			incarnation === other.incarnation)
	);
}

/** Tells whether an announcement is of an earlier life than another one. */
export function isEarlierIncarnation(
	{incarnation}: Announcement,
	other: Announcement,
): boolean {
	return (
		incarnation !== undefined &&
		other.incarnation !== undefined &&
		incarnation < other.incarnation
	);
}

/** Takes in what an upstream reports with an answer. */
export function recordReport(
	upstream: LocalUpstream,
	{report, verdict, sentAt}: ReceivedReport,
	now: number,
): void {
	if (verdict === 'wrong-instance') {
		// It is the report of another upstream at the address.
		return;
	}

	const {rateLimit, isLeaving} = report;
	upstream.hasReported ||= verdict === 'answered';
	upstream.isLeaving ||= isLeaving;
	switch (rateLimit.kind) {
		case 'named': {
			upstream.rateLimit = stepRateLimit(upstream.rateLimit, rateLimit, now);
			break;
		}

		case 'none': {
			// What is shed or misplaced need not say all that an answer does.
			if (verdict === 'answered') {
				upstream.rateLimit = stepRateLimit(
					upstream.rateLimit,
					{kind: 'omitted', sentAt},
					now,
				);
			}

			break;
		}

		case 'unreadable': {
			// It neither names a limit nor takes one back.
			break;
		}
	}
}

/**
 * Takes in what another node knows of an upstream. Answers a gate that has
 * started again beside an upstream that goes on: what the gate has heard itself
 * is newer.
 */
export function applyRemoteNotice(
	upstream: LocalUpstream,
	{incarnation, isLeaving, rateLimit}: UpstreamNotice,
	now: number,
): void {
	const {announcement} = upstream;
	const {incarnation: own = incarnation} = announcement;
	if (incarnation !== undefined && incarnation !== own) {
		return;
	}

	if (own !== undefined) {
		// What is taken over holds for this life only.
		upstream.announcement = {...announcement, incarnation: own};
	}

	upstream.isLeaving ||= isLeaving;
	if (rateLimit && !upstream.hasReported && !upstream.rateLimit) {
		const {perSecond} = rateLimit;
		const message = {kind: 'named', perSecond} as const;
		upstream.rateLimit = stepRateLimit(undefined, message, now);
	}
}

/** Reads what an upstream has said of itself, its leaving also by announcement; undefined when that is nothing of note. */
export function readNotice(
	{id, announcement, rateLimit, queuedCount}: LocalUpstream,
	now: number,
): UpstreamNotice | undefined {
	const isLeaving = announcement.state === 'leaving';
	if (!isLeaving && !rateLimit) {
		return undefined;
	}

	const {incarnation} = announcement;
	return {
		id,
		isLeaving,
		...(incarnation !== undefined && {incarnation}),
		...(rateLimit && {
			rateLimit: {
				perSecond: rateLimit.perSecond,
				waitMs: computeRateLimitWait(rateLimit, queuedCount, now),
			},
		}),
	};
}
