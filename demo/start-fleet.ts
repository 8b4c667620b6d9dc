import {startHost, type Host} from '../harness/start-host.js';
import {startProcess} from '../harness/start-process.js';

const dataCentres = ['abdali', 'marka'] as const;
const services = ['pricebook', 'pricebook', 'payables', 'pantry'] as const;

/** The hosts of the demonstration, by data centre and then by service. */
export type Fleet = {
	readonly hosts: readonly Host[];
};

/**
 * Starts the platform stand-in and the hosts of two data centres, each with a
 * node and an upstream.
 *
 * @returns the hosts, all ready
 * @throws when a process does not become ready
 * @example
 * const {hosts} = await startFleet();
 */
export async function startFleet(): Promise<Fleet> {
	const platform = await startProcess('platform', []);
	const hosts: Host[] = [];
	for (const dataCentre of dataCentres) {
		const started = await Promise.all(
			services.map(async (service, index) =>
				startHost({
					name: `${dataCentre}-${index + 1}`,
					dataCentre,
					platformUrl: platform.ready.url!,
					team: 'kitchens',
					service,
				}),
			),
		);
		hosts.push(...started);
	}

	return {hosts};
}
