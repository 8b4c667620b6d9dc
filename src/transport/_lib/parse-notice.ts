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
 * Parses the notice header.
 *
 * @param value - header value
 * @returns what is known of the upstream, or undefined when it can't be read
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
