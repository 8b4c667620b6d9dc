import type {IncomingHttpHeaders} from 'node:http';
import type {Attempt} from '../../protocol/attempt.js';
import {
	attemptHeader,
	deadlineHeader,
	depthHeader,
	fingerprintHeader,
	gateTimeHeader,
	keyHeader,
	nestedHeader,
	noticeHeader,
	objectiveHeader,
	originHeader,
	priorityHeader,
	repeatableHeader,
	requestIdHeader,
	routeHeader,
	routeObjectiveHeader,
	serviceHeader,
	shedHeader,
	stampHeader,
	teamHeader,
	tenantHeader,
	traceparentHeader,
} from '../../protocol/request.js';
import {copyHeaders} from './copy-headers.js';
import {encodeHeaderText} from './encode-header-text.js';
import {formatNotice} from './format-notice.js';
import {formatStamp} from './format-stamp.js';

/**
 * Creates the headers of an attempt that is forwarded to a gate.
 *
 * @param attempt - the attempt
 * @returns the caller's headers and the headers that describe the attempt
 */
export function createAttemptHeaders(attempt: Attempt): IncomingHttpHeaders {
	const headers = copyHeaders(attempt.headers);
	headers[requestIdHeader] = attempt.requestId;
	headers[attemptHeader] = attempt.id;
	headers[teamHeader] = encodeHeaderText(attempt.team);
	headers[serviceHeader] = encodeHeaderText(attempt.service);
	headers[deadlineHeader] = String(Math.floor(attempt.remainingMs));
	headers[depthHeader] = String(attempt.depth);
	if (attempt.route !== undefined) {
		headers[routeHeader] = encodeHeaderText(attempt.route);
	}

	if (attempt.priority !== undefined) {
		headers[priorityHeader] = String(attempt.priority);
	}

	if (attempt.objectiveMs !== undefined) {
		headers[objectiveHeader] = String(Math.floor(attempt.objectiveMs));
	}

	if (attempt.routeObjectiveMs !== undefined) {
		headers[routeObjectiveHeader] = String(
			Math.round(attempt.routeObjectiveMs),
		);
	}

	if (attempt.origin !== undefined) {
		headers[originHeader] = encodeHeaderText(attempt.origin);
	}

	if (attempt.tenant !== undefined) {
		headers[tenantHeader] = encodeHeaderText(attempt.tenant);
	}

	if (attempt.fingerprint !== undefined) {
		headers[fingerprintHeader] = attempt.fingerprint;
	}

	if (attempt.repeatable) {
		headers[repeatableHeader] = 'true';
	}

	if (attempt.isNested) {
		headers[nestedHeader] = 'true';
	}

	if (attempt.sheddingMeansNotRun) {
		headers[shedHeader] = 'not-run';
	}

	if (attempt.stamp) {
		headers[stampHeader] = formatStamp(attempt.stamp);
	}

	if (attempt.notice) {
		headers[noticeHeader] = formatNotice(attempt.notice);
	}

	if (attempt.createdAtGateMs !== undefined) {
		headers[gateTimeHeader] = String(Math.floor(attempt.createdAtGateMs));
	}

	if (attempt.key !== undefined) {
		headers[keyHeader] = attempt.key;
	}

	if (attempt.traceparent !== undefined) {
		headers[traceparentHeader] = attempt.traceparent;
	}

	return headers;
}
