import type {Configuration} from '../../protocol/configuration.js';
import type {MembersView} from '../../protocol/member.js';
import type {GaugeReading} from '../create-metrics.js';

/**
 * Lists the current gauge readings of a node.
 *
 * @param configuration - the configuration in force on the node
 * @param view - the node's membership view
 * @param viewAgeMs - time since another member last exchanged records, ms
 * @returns the gauges
 */
export function listGauges(
	configuration: Configuration,
	view: MembersView,
	viewAgeMs: number,
): readonly GaugeReading[] {
	const states = ['alive', 'suspect', 'dead', 'left'] as const;
	return [
		{name: 'configuration.version', value: configuration.version},
		{name: 'members.view_age_ms', value: viewAgeMs},
		...states.map((state): GaugeReading => ({
			name: 'members.count',
			value: view.members.filter((member) => member.state === state).length,
			tags: {state},
		})),
	];
}
