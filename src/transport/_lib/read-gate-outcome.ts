import type {IncomingHttpHeaders} from 'node:http';
import {Readable} from 'node:stream';
import type {ForwardResult, GateLoad} from '../../protocol/attempt.js';
import {
	maxRetryAfterSeconds,
	retryAfterSeconds,
} from '../../protocol/constants.js';
import {
	loadHeader,
	noticeHeader,
	outcomeHeader,
	outcomeReasons,
	reasonHeader,
	stampHeader,
	type OutcomeReason,
} from '../../protocol/request.js';
import {parseLoad} from './parse-load.js';
import {parseNotice} from './parse-notice.js';
import {parseNumber} from './parse-number.js';
import {parseStamp} from './parse-stamp.js';
import type {SendOutcome} from './send-request.js';

const retryAfterRange = {min: 0, max: maxRetryAfterSeconds};

function parseReason(value: unknown): OutcomeReason {
	return outcomeReasons.find((reason) => reason === value) ?? 'connection-lost';
}

function readLoad(headers: IncomingHttpHeaders): GateLoad | undefined {
	const load = parseLoad(headers[loadHeader]);
	const notice = parseNotice(headers[noticeHeader]);
	return load && notice ? {...load, notice} : load;
}

/**
 * Converts the transport outcome of a forwarded attempt to the attempt's result.
 *
 * @param outcome - outcome of the request to the gate
 * @returns the gate's result, or `lost` if it was not received
 */
export function readGateOutcome(outcome: SendOutcome): ForwardResult {
	switch (outcome.kind) {
		case 'answered': {
			const {status, headers, body} = outcome;
			const load = readLoad(headers);
			const stamp = parseStamp(headers[stampHeader]);
			const kind = headers[outcomeHeader];
			if (kind === 'answered') {
				return {kind, status, headers, body, load, stamp};
			}

			if (body instanceof Readable) {
				body.destroy();
			}

			if (kind !== 'not-run' && kind !== 'unknown') {
				return {kind: 'lost', reason: 'connection-lost'};
			}

			const seconds =
				parseNumber(headers['retry-after'], retryAfterRange) ??
				retryAfterSeconds;
			const reason = parseReason(headers[reasonHeader]);
			return {kind, reason, retryAfterSeconds: seconds, load, stamp};
		}

		case 'not-sent': {
			return {
				kind: 'not-run',
				reason: 'not-sent',
				retryAfterSeconds,
				load: undefined,
				stamp: undefined,
			};
		}

		case 'lost':
		case 'aborted': {
			return {kind: 'lost', reason: 'connection-lost'};
		}

		case 'truncated': {
			return {kind: 'lost', reason: 'truncated'};
		}
	}
}
