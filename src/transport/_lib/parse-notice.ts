import * as z from 'zod';
import type {UpstreamNotice} from '../../protocol/attempt.js';

const noticeSchema = z.object({
	id: z.string().min(1).max(64),
	leaving: z.enum(['0', '1']),
	incarnation: z.coerce.number().int().min(0).optional(),
	limit: z.coerce.number().min(0).optional(),
	wait: z.coerce.number().min(0).default(0),
});

/**
 * Parses the value of the notice header, the inverse of `formatNotice`.
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

	const {id, leaving, incarnation, limit, wait} = parsed.data;
	return {
		id,
		isLeaving: leaving === '1',
		...(incarnation !== undefined && {incarnation}),
		...(limit !== undefined && {
			rateLimit: {perSecond: limit, waitMs: wait},
		}),
	};
}
