import * as z from 'zod';
import {decodeList} from '../../protocol/decode-list.js';
import {decodeValue} from '../../protocol/decode-value.js';
import {
	documentRouteSchema,
	documentTenantSchema,
	encodedDocumentSchema,
	type DocumentProblem,
	type DocumentTenant,
	type RoutingDocument,
} from '../../protocol/routing-document.js';
import {decodeDocumentParts} from './decode-document-parts.js';

const nameSchema = documentRouteSchema.pick({name: true});
const hostSchema = documentRouteSchema.pick({host: true});
const pathPrefixSchema = z.object({
	pathPrefix: documentRouteSchema.shape.pathPrefix.startsWith('/'),
});

/** Creates the problem of a route that cannot be read, with its host and path prefix if these can. */
function createRouteProblem(
	route: unknown,
	place: string,
	reason: string,
): DocumentProblem {
	const host = hostSchema.safeParse(route).data?.host;
	const pathPrefix = pathPrefixSchema.safeParse(route).data?.pathPrefix;
	return {
		kind: 'route-refused',
		name: nameSchema.safeParse(route).data?.name ?? place,
		reason,
		...(host !== undefined && {host}),
		...(pathPrefix !== undefined && {pathPrefix}),
	};
}

/** Decodes tenants; the keys of one that cannot be read are unknown. */
function decodeTenants(
	value: unknown,
	problems: DocumentProblem[],
): readonly DocumentTenant[] | undefined {
	if (value === undefined) {
		return undefined;
	}

	const tenants = decodeList(value, {
		schema: documentTenantSchema,
		place: 'tenants',
		maxLength: Infinity,
	});
	for (const {place, reason} of tenants.unreadable) {
		problems.push({kind: 'left-out', part: 'tenant', name: place, reason});
	}

	return tenants.value;
}

/**
 * Decodes a whole document. Requests of a route that cannot be read are refused,
 * as they are when a route of the store cannot be read.
 *
 * @throws if its version or its list of routes cannot be read
 */
export function decodeWholeDocument(value: unknown): RoutingDocument {
	const encoded = encodedDocumentSchema.parse(value);
	const ownProblems: DocumentProblem[] = [];
	const routes = decodeList(encoded.routes, {
		schema: documentRouteSchema,
		place: 'routes',
		maxLength: Infinity,
		decodeEntry(route, place) {
			const {unreadable} = decodeValue(documentRouteSchema, route, place);
			const {reason} = unreadable[0]!;
			ownProblems.push(createRouteProblem(route, place, reason));
			return {value: undefined, unreadable: []};
		},
	});
	const tenants = decodeTenants(encoded.tenants, ownProblems);
	return {
		version: encoded.version,
		routes: routes.value,
		...(tenants && {tenants}),
		...decodeDocumentParts(encoded, ownProblems),
		...(ownProblems.length > 0 && {ownProblems}),
	};
}
