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
import {decodeHeaderText} from './decode-header-text.js';
import {parseNotice} from './parse-notice.js';
import {parseNumber, type NumberRange} from './parse-number.js';
import {readDeadline} from './read-deadline.js';
import {parseStamp} from './parse-stamp.js';

/** The parts of an attempt that are not in its headers. */
export type AttemptParts = {
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array | Readable;
	readonly signal: CancelSignal;
};

/** An attempt that has been read, whose body may not have arrived yet. */
export type ReceivedAttempt = Omit<
	Attempt,
	'body' | 'unreadMs' | 'onUnanswered'
> & {
	body: Uint8Array | Readable;
	unreadMs: number | undefined;
	onUnanswered: (() => void) | undefined;
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

function readNumber(
	value: string | string[] | undefined,
	range: NumberRange,
): number | undefined {
	return value === undefined ? undefined : parseNumber(value, range);
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
	{method, path, body, signal}: AttemptParts,
): ReceivedAttempt {
	const stamp = headers[stampHeader];
	const notice = headers[noticeHeader];
	// A literal with all properties is one allocation; with a spread or added properties it is copied for each few of them.
	return {
		method,
		path,
		body,
		signal,
		id: String(headers[attemptHeader]),
		requestId: String(headers[requestIdHeader]),
		team: decodeHeaderText(String(headers[teamHeader])),
		service: decodeHeaderText(String(headers[serviceHeader])),
		repeatable: headers[repeatableHeader] === 'true',
		sheddingMeansNotRun: headers[shedHeader] === 'not-run',
		headers,
		remainingMs: readDeadline(headers),
		depth: readNumber(headers[depthHeader], depthRange) ?? 0,
		isNested: headers[nestedHeader] === 'true' ? true : undefined,
		route: readText(headers[routeHeader]),
		origin: readText(headers[originHeader]),
		tenant: readText(headers[tenantHeader]),
		fingerprint: headers[fingerprintHeader]?.toString(),
		priority: readNumber(headers[priorityHeader], priorityRange),
		routeObjectiveMs: readNumber(
			headers[routeObjectiveHeader],
			routeObjectiveRange,
		),
		objectiveMs: readNumber(headers[objectiveHeader], objectiveRange),
		stamp: stamp === undefined ? undefined : parseStamp(stamp),
		notice: notice === undefined ? undefined : parseNotice(notice),
		createdAtGateMs: readNumber(headers[gateTimeHeader], timeRange),
		key: headers[keyHeader]?.toString(),
		traceparent: headers[traceparentHeader]?.toString(),
		unreadMs: undefined,
		onUnanswered: undefined,
	};
}
