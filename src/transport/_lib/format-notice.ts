import type {UpstreamNotice} from '../../protocol/attempt.js';

/**
 * Formats what is known of an upstream for the notice header.
 *
 * @param notice - what it has said of itself
 * @returns the header's value
 */
export function formatNotice(notice: UpstreamNotice): string {
	const {id, incarnation, isLeaving, rateLimit} = notice;
	const fields = new URLSearchParams({id, leaving: isLeaving ? '1' : '0'});
	if (incarnation !== undefined) {
		fields.set('incarnation', String(incarnation));
	}

	if (rateLimit) {
		fields.set('limit', String(rateLimit.perSecond));
		fields.set('wait', String(Math.ceil(rateLimit.waitMs)));
	}

	return fields.toString();
}
