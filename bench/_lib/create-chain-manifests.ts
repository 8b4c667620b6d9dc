/**
 * Creates the manifests of a chain of services: one team that owns them, and
 * a quiet and a noisy team that share the first.
 *
 * @param depth - number of services
 * @param deadlineMs - deadline of each route, ms
 * @returns the manifests in the order in which to submit them
 * @example
 * createChainManifests(1, 2000).length; // 3
 */
export function createChainManifests(
	depth: number,
	deadlineMs: number,
): readonly unknown[] {
	const levels = Array.from({length: depth}, (_, index) => index + 1);
	const policies = {call: {repeatable: true, deadlineMs, concurrency: 10_000}};
	const owner = {
		team: 'bench',
		replaces: 0,
		services: Object.fromEntries(
			levels.map((level) => [`s${level}`, {shared: true, shedding: 'not-run'}]),
		),
		policies,
		routes: levels.map((level) => ({
			name: `s${level}`,
			path: `/bench/s${level}`,
			service: `s${level}`,
			policy: 'call',
		})),
	};
	const guests = ['quiet', 'noisy'].map((team) => ({
		team,
		replaces: 0,
		policies,
		routes: [
			{name: 'first', path: `/${team}/s1`, service: 'bench/s1', policy: 'call'},
		],
	}));
	return [owner, ...guests];
}
