import type {DocumentState, DocumentStep} from '../document-state.js';
import {computeProofAge} from './compute-proof-age.js';

/**
 * Updates whether the freshness lease is valid, and logs when it ends or is
 * renewed.
 *
 * @param state - the state before
 * @returns the state after and the log line, if any
 * @example
 * stepLease(createDocumentState('a')).effects; // []
 */
export function stepLease(state: DocumentState): DocumentStep {
	const {freshness, document} = state;
	if (!freshness) {
		return {state, effects: []};
	}

	const ageMs = computeProofAge(freshness);
	const isLeaseValid = ageMs <= freshness.leaseMs;
	if (isLeaseValid === freshness.isLeaseValid) {
		return {state, effects: []};
	}

	return {
		state: {...state, freshness: {...freshness, isLeaseValid}},
		effects: [
			{
				kind: 'log',
				level: isLeaseValid ? 'info' : 'warn',
				message: isLeaseValid
					? 'freshness lease renewed'
					: 'freshness lease ended',
				fields: {version: document?.version, proofAgeMs: Math.round(ageMs)},
			},
		],
	};
}
