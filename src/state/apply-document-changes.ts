import {err, ok, type Result} from 'neverthrow';
import type {
	DocumentChanges,
	DocumentRoute,
	DocumentTenant,
	RoutingDocument,
	TenantChanges,
} from '../protocol/routing-document.js';

/** Applies the changes of tenants, whose order has no meaning. */
function applyTenantChanges(
	base: readonly DocumentTenant[],
	{removed, put}: TenantChanges,
): readonly DocumentTenant[] {
	const replaced = new Set([...removed, ...put.map(({name}) => name)]);
	return [...base.filter(({name}) => !replaced.has(name)), ...put];
}

/**
 * Applies changes to their base document, either all of them or none.
 *
 * Unchanged routes are the same objects in both documents. Routes of the base
 * that only this node cannot read are still refused; changes to such a route do
 * not apply, as the base lacks it.
 *
 * @param base - the document of the version to which the changes apply
 * @param changes - the changes
 * @returns the later document, or the reason why the changes cannot be applied
 * @example
 * applyDocumentChanges(base, changes).map(({version}) => version);
 */
export function applyDocumentChanges(
	base: RoutingDocument,
	changes: DocumentChanges,
): Result<RoutingDocument, string> {
	const {from, to, removed, put, services, limits, problems} = changes;
	if (from !== base.version || to <= from) {
		return err(`changes from ${from} to ${to} do not follow ${base.version}`);
	}

	const removedNames = new Set(removed);
	const kept = base.routes.filter(({name}) => !removedNames.has(name));
	if (kept.length !== base.routes.length - removed.length) {
		return err('removed routes are missing from the base document or repeated');
	}

	const putByIndex = new Map(put.map(({index, route}) => [index, route]));
	const routes: DocumentRoute[] = [];
	let nextKept = 0;
	for (let index = 0; index < kept.length + put.length; index++) {
		const route = putByIndex.get(index) ?? kept[nextKept++];
		if (!route) {
			return err('indices of new routes are out of range or repeated');
		}

		routes.push(route);
	}

	const tenants =
		changes.tenants && applyTenantChanges(base.tenants ?? [], changes.tenants);
	const {ownProblems = []} = base;
	const allProblems = [...(problems ?? []), ...ownProblems];
	return ok({
		version: to,
		routes,
		services,
		...(tenants && {tenants}),
		...(limits && {limits}),
		...(allProblems.length > 0 && {problems: allProblems}),
		...(ownProblems.length > 0 && {ownProblems}),
	});
}
