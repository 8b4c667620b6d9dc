/**
 * Handles the reports that upstreams on the gate's host send with their responses.
 */
import {computeRateLimitWait} from '../../coordination/compute-rate-limit-wait.js';
import {stepRateLimit} from '../../coordination/step-rate-limit.js';
import type {UpstreamNotice} from '../../protocol/attempt.js';
import type {ResponseClass, UpstreamReport} from '../../protocol/edge.js';
import type {Announcement} from '../../protocol/member.js';
import type {LocalUpstream} from './local-upstream.js';

/** A report and the response that carried it. */
export type ReceivedReport = {
	readonly report: UpstreamReport;
	readonly verdict: ResponseClass;
	/** When the request was sent, monotonic ms. */
	readonly sentAt: number;
};

/**
 * Returns whether two announcements under one identifier are from the same
 * incarnation of an upstream. A missing incarnation matches any.
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

/** Returns whether an announcement is from an earlier incarnation than another one. */
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

/** Records the report that an upstream sent with a response. */
export function recordReport(
	upstream: LocalUpstream,
	{report, verdict, sentAt}: ReceivedReport,
	now: number,
): void {
	if (verdict === 'wrong-instance') {
		// The report is from another upstream at the same address.
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
			// Only a regular response states the complete report; one that sheds or is misplaced may not.
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
			// An unreadable value neither sets nor removes a limit.
			break;
		}
	}
}

/**
 * Applies what another node knows about an upstream. A gate needs this after a
 * restart during which its upstream kept running; what the gate itself has
 * received from the upstream is newer and takes precedence.
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
		// The notice holds for this incarnation only.
		upstream.announcement = {...announcement, incarnation: own};
	}

	upstream.isLeaving ||= isLeaving;
	if (rateLimit && !upstream.hasReported && !upstream.rateLimit) {
		const {perSecond} = rateLimit;
		const message = {kind: 'named', perSecond} as const;
		upstream.rateLimit = stepRateLimit(undefined, message, now);
	}
}

/** Returns the notice about an upstream that is leaving, as reported or announced, or that has a rate limit; otherwise undefined. */
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
