import * as z from 'zod';
import type {UpstreamNotice} from '../../protocol/attempt.js';
import {maxDeadlineMs} from '../../protocol/constants.js';
import {parseNumber} from './parse-number.js';

const noticeSchema = z.object({
	id: z.string().min(1).max(64),
	leaving: z.enum(['0', '1']),
	incarnation: z.coerce.number().int().min(0).optional(),
	limit: z.unknown().optional(),
	wait: z.unknown().optional(),
});

/** Upstreams state rates below a million requests per second. */
const limitRange = {min: 0, max: 1_000_000};
const waitRange = {min: 0, max: maxDeadlineMs};

/**
 * Parses the value of the notice header, the inverse of `formatNotice`. A limit
 * that is not readable counts as none; without its incarnation, the notice could
 * be taken for one about another.
 *
 * @param value - header value
 * @returns the notice, or undefined if the value is missing or invalid
 */
export function parseNotice(value: unknown): UpstreamNotice | undefined {
	if (typeof value !== 'string') {
		return undefined;
	}

	const fields = Object.fromEntries(new URLSearchParams(value));
	const parsed = noticeSchema.safeParse(fields);
	if (!parsed.success) {
		return undefined;
	}

	const {id, leaving, incarnation} = parsed.data;
	const perSecond = parseNumber(parsed.data.limit, limitRange);
	const waitMs = parseNumber(parsed.data.wait, waitRange) ?? 0;
	return {
		id,
		isLeaving: leaving === '1',
		...(incarnation !== undefined && {incarnation}),
		...(perSecond !== undefined && {rateLimit: {perSecond, waitMs}}),
	};
}
