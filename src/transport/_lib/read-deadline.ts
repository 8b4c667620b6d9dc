import type {IncomingHttpHeaders} from 'node:http';
import {defaultDeadlineMs, maxDeadlineMs} from '../../protocol/constants.js';
import {deadlineHeader} from '../../protocol/request.js';
import {parseNumber} from './parse-number.js';

const range = {min: 0, max: maxDeadlineMs};

/**
 * Reads the time left from the headers of another node.
 *
 * @param headers - headers as received
 * @returns the time, ms; `defaultDeadlineMs` if it is missing or not readable
 */
export function readDeadline(headers: IncomingHttpHeaders): number {
	return parseNumber(headers[deadlineHeader], range) ?? defaultDeadlineMs;
}
