import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import type {Attempt} from '../../protocol/attempt.js';
import type {CancelSignal} from '../../protocol/cancel-signal.js';
import {defaultDeadlineMs} from '../../protocol/constants.js';
import {
	attemptHeader,
	deadlineHeader,
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
import {parseNotice} from './parse-notice.js';
import {parseStamp} from './parse-stamp.js';

/** The parts of an attempt that are not in its headers. */
export type AttemptParts = {
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array | Readable;
	readonly signal: CancelSignal;
};

function readNumber(value: string | string[] | undefined): number | undefined {
	return value === undefined ? undefined : Number(value);
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
		team: String(headers[teamHeader]),
		service: String(headers[serviceHeader]),
		repeatable: headers[repeatableHeader] === 'true',
		sheddingMeansNotRun: headers[shedHeader] === 'not-run',
		headers,
		remainingMs: Number(headers[deadlineHeader] ?? defaultDeadlineMs),
		depth: Number(headers[depthHeader] ?? 0),
		route: headers[routeHeader]?.toString(),
		origin: headers[originHeader]?.toString(),
		fingerprint: headers[fingerprintHeader]?.toString(),
		priority: readNumber(headers[priorityHeader]),
		routeObjectiveMs: readNumber(headers[routeObjectiveHeader]),
		objectiveMs: readNumber(headers[objectiveHeader]),
		stamp: parseStamp(headers[stampHeader]),
		notice: parseNotice(headers[noticeHeader]),
		createdAtGateMs: readNumber(headers[gateTimeHeader]),
		key: headers[keyHeader]?.toString(),
		traceparent: headers[traceparentHeader]?.toString(),
	};
}
