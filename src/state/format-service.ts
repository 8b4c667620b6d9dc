/** A service as it is announced by an upstream. */
export type NamedService = {
	/** Team that owns the service; empty for services without owners. */
	readonly team: string;
	readonly service: string;
};

/**
 * Formats the full name of a service.
 *
 * @param named - team and name
 * @returns `TEAM/SERVICE`, or the name alone without a team
 * @example
 * formatService({team: 'kitchens', service: 'pricebook'}); // 'kitchens/pricebook'
 */
export function formatService({team, service}: NamedService): string {
	return team ? `${team}/${service}` : service;
}
