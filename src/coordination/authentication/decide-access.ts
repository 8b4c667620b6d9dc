import type {KeyField} from '../../protocol/edge.js';
import type {DocumentTenant} from '../../protocol/routing-document.js';

/** What is known about a request and about the configuration of its node. */
export type AccessInput = {
	/** Whether the route needs no API key. */
	readonly isPublic: boolean;
	/** Tenants by API key; undefined when no request needs a key. */
	readonly tenantsByKey: ReadonlyMap<string, DocumentTenant> | undefined;
	readonly key: KeyField;
	/** Time since the configuration was last confirmed to be the newest, ms; infinity when it never was. */
	readonly confirmedAgeMs: number;
	/** Age of the proof that the configuration is the newest, ms; 0 when none is required. */
	readonly proofAgeMs?: number;
	/** Maximum age of the proof, ms; by default none is required. */
	readonly maxProofAgeMs?: number;
};

/** Whether a request may run, and for which tenant. */
export type AccessDecision =
	/** The request needs no API key. */
	| {readonly kind: 'open'}
	| {readonly kind: 'tenant'; readonly tenant: DocumentTenant}
	| {
			readonly kind: 'refuse';
			readonly reason: 'unknown-key' | 'unproven-configuration';
			/** The tenant that owns the key; undefined when the key is not known. */
			readonly tenant: DocumentTenant | undefined;
	  };

/**
 * Time since the last confirmation up to which an unknown key is certain not to
 * be valid, ms. A version must be in force 2.5 s after its acceptance; the rest
 * covers the time that a confirmation takes to arrive.
 */
const maxCertainAgeMs = 2000;

/**
 * Decides whether a request may run, based on its API key.
 *
 * A key that is not known may have been added by a version that the node has not
 * received yet. It is refused as unknown only while the configuration is
 * certainly fresh, and else as unproven, so that the client tries again.
 *
 * @param input - see `AccessInput`
 * @returns the decision
 * @example
 * decideAccess({isPublic: true, tenantsByKey, key: {kind: 'none'}, confirmedAgeMs: 0}); // {kind: 'open'}
 */
export function decideAccess(input: AccessInput): AccessDecision {
	const {isPublic, tenantsByKey, key, confirmedAgeMs} = input;
	const {proofAgeMs = 0, maxProofAgeMs = Number.POSITIVE_INFINITY} = input;
	if (isPublic || !tenantsByKey) {
		return {kind: 'open'};
	}

	const tenant = key.kind === 'key' ? tenantsByKey.get(key.key) : undefined;
	const isProven = proofAgeMs <= maxProofAgeMs;
	if (tenant && isProven) {
		return {kind: 'tenant', tenant};
	}

	const isCertain = isProven && confirmedAgeMs <= maxCertainAgeMs;
	return {
		kind: 'refuse',
		reason:
			tenant === undefined && isCertain
				? 'unknown-key'
				: 'unproven-configuration',
		tenant,
	};
}
