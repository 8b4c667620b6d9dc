import type {UpstreamNotice} from '../../protocol/attempt.js';

/**
 * Formats an upstream notice as the value of the notice header.
 *
 * @param notice - what the upstream has reported about itself
 * @returns the header value, URL-encoded fields
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
