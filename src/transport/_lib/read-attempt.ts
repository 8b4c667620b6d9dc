import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import type {Attempt} from '../../protocol/attempt.js';
import type {CancelSignal} from '../../protocol/cancel-signal.js';
import {maxDeadlineMs, maxDepth} from '../../protocol/constants.js';
import {
	attemptHeader,
	depthHeader,
	fingerprintHeader,
	gateTimeHeader,
	keyHeader,
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
	traceparentHeader,
} from '../../protocol/request.js';
import {decodeHeaderText} from './decode-header-text.js';
import {parseNotice} from './parse-notice.js';
import {parseNumber} from './parse-number.js';
import {readDeadline} from './read-deadline.js';
import {parseStamp} from './parse-stamp.js';

/** The parts of an attempt that are not in its headers. */
export type AttemptParts = {
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array | Readable;
	readonly signal: CancelSignal;
};

const routeObjectiveRange = {min: 0, max: maxDeadlineMs};
/** The objective may have passed. */
const objectiveRange = {min: -maxDeadlineMs, max: maxDeadlineMs};
const depthRange = {min: 0, max: maxDepth + 1};
const priorityRange = {min: 0, max: Number.MAX_SAFE_INTEGER};
const timeRange = {min: -maxDeadlineMs, max: Number.MAX_SAFE_INTEGER};

function readText(value: string | string[] | undefined): string | undefined {
	return value === undefined ? undefined : decodeHeaderText(String(value));
}

/**
 * Reads an attempt from the headers of the request that carries it to a gate.
 *
 * @param headers - headers as received
 * @param parts - see `AttemptParts`
 * @returns the attempt
 */
export function readAttempt(
	headers: IncomingHttpHeaders,
	parts: AttemptParts,
): Attempt {
	return {
		...parts,
		id: String(headers[attemptHeader]),
		requestId: String(headers[requestIdHeader]),
		team: decodeHeaderText(String(headers[teamHeader])),
		service: decodeHeaderText(String(headers[serviceHeader])),
		repeatable: headers[repeatableHeader] === 'true',
		sheddingMeansNotRun: headers[shedHeader] === 'not-run',
		headers,
		remainingMs: readDeadline(headers),
		depth: parseNumber(headers[depthHeader], depthRange) ?? 0,
		route: readText(headers[routeHeader]),
		origin: readText(headers[originHeader]),
		fingerprint: headers[fingerprintHeader]?.toString(),
		priority: parseNumber(headers[priorityHeader], priorityRange),
		routeObjectiveMs: parseNumber(
			headers[routeObjectiveHeader],
			routeObjectiveRange,
		),
		objectiveMs: parseNumber(headers[objectiveHeader], objectiveRange),
		stamp: parseStamp(headers[stampHeader]),
		notice: parseNotice(headers[noticeHeader]),
		createdAtGateMs: parseNumber(headers[gateTimeHeader], timeRange),
		key: headers[keyHeader]?.toString(),
		traceparent: headers[traceparentHeader]?.toString(),
	};
}
