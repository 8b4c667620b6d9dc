/**
 * Resolves a route's service reference to a full service name.
 *
 * @param team - the team that owns the route
 * @param reference - `service`, or `team/service` for a shared service
 * @returns the full name, `team/service`
 * @example
 * resolveService('kitchens', 'pantry'); // 'kitchens/pantry'
 */
export function resolveService(team: string, reference: string): string {
	return reference.includes('/') ? reference : `${team}/${reference}`;
}
