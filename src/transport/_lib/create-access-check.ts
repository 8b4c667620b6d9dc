import type {IncomingMessage} from 'node:http';
import {decideAccess} from '../../coordination/authentication/decide-access.js';
import type {Edge} from '../../protocol/edge.js';
import type {CompiledRoute} from '../../protocol/request.js';
import type {DocumentTenant} from '../../protocol/routing-document.js';

/** Options of `createAccessCheck`. */
export type AccessCheckOptions = {
	/** Returns the time since the configuration was last confirmed to be the newest, ms; when absent, no key is certain to be invalid. */
	readonly readConfirmedAge?: (() => number) | undefined;
	/** Returns the age of the proof that the configuration is the newest, ms; when absent, none is required. */
	readonly readProofAge?: (() => number) | undefined;
	/** Maximum age of the proof, ms; when absent, none is required. */
	readonly maxProofAgeMs?: number | undefined;
};

/** Refusal of a request without a valid API key. */
export type AccessRefusal = {
	readonly reason: 'unknown-key' | 'unproven-configuration';
	/** Tenant that owns the key; undefined when the key is not known. */
	readonly tenant: string | undefined;
};

/** Returns the route of a request, for its tenant if it needs a key, or the refusal. */
export type AccessCheck = (
	request: Pick<IncomingMessage, 'headers' | 'rawHeaders'>,
	route: CompiledRoute,
	tenantsByKey: ReadonlyMap<string, DocumentTenant>,
) => CompiledRoute | AccessRefusal;

/**
 * Creates the check of API keys, for the requests of a document with tenants. It
 * removes the key from the headers of each request, so that it reaches neither
 * another node nor an upstream.
 *
 * @param edge - names and reads the header of the key
 * @param options - see `AccessCheckOptions`
 * @returns the check
 */
export function createAccessCheck(
	edge: Pick<Edge, 'keyHeader' | 'readKey'>,
	options: AccessCheckOptions,
): AccessCheck {
	const {maxProofAgeMs = Number.POSITIVE_INFINITY} = options;
	const {readConfirmedAge = () => Number.POSITIVE_INFINITY} = options;
	const {readProofAge = () => 0} = options;
	return ({headers, rawHeaders}, route, tenantsByKey) => {
		Reflect.deleteProperty(headers, edge.keyHeader);
		const proofAgeMs = readProofAge();
		const decision = decideAccess({
			isPublic: route.isPublic ?? false,
			tenantsByKey,
			key: edge.readKey(rawHeaders),
			// Unlike the time of a confirmation, a proof counts suspensions and transit.
			confirmedAgeMs: Math.max(readConfirmedAge(), proofAgeMs),
			proofAgeMs,
			maxProofAgeMs,
		});
		switch (decision.kind) {
			case 'open': {
				return route;
			}

			case 'tenant': {
				const {name, priority = route.priority} = decision.tenant;
				return {...route, tenant: name, priority};
			}

			case 'refuse': {
				const {reason, tenant} = decision;
				return {reason, tenant: tenant?.name};
			}
		}
	};
}
