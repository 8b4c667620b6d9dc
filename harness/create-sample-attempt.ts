import type {Attempt} from '../src/protocol/attempt.js';

/**
 * Creates an attempt of a read that may be repeated, without a stamp.
 *
 * @param changes - what differs from it
 * @returns the attempt
 * @example
 * createSampleAttempt({id: 'a/1', service: 'registry', repeatable: false});
 */
export function createSampleAttempt(changes: Partial<Attempt> = {}): Attempt {
	return {
		id: 'a/1',
		requestId: 'a',
		team: '',
		service: 'registry',
		repeatable: true,
		sheddingMeansNotRun: true,
		method: 'GET',
		path: '/valves',
		headers: {},
		body: new Uint8Array(),
		depth: 0,
		key: undefined,
		traceparent: undefined,
		remainingMs: 500,
		stamp: undefined,
		signal: new AbortController().signal,
		...changes,
	};
}
