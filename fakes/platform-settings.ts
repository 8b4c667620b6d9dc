import {stringify} from 'yaml';

/**
 * What differs between the settings files of nodes.
 */
export type PlatformSettings = {
	readonly name: string;
	readonly dataCentre: string;
	readonly ip: string;
	readonly callersPort: number;
	readonly readinessPort: number;
	readonly announcementsPort: number;
	readonly peersPort: number;
	readonly upstreamAddress: string;
	readonly store: string;
	readonly graceMs: number;
};

/**
 * Formats the settings file that the platform writes for a process.
 */
export function formatPlatformSettings(settings: PlatformSettings): string {
	const {name, dataCentre, ip, peersPort, graceMs} = settings;
	return stringify({
		node_name: name,
		ip,
		zone: dataCentre,
		listen_addrs: {
			outbound: `${ip}:${settings.callersPort}`,
			ready: `${ip}:${settings.readinessPort}`,
			control: `${ip}:${settings.announcementsPort}`,
		},
		internal_port_range: [peersPort, peersPort + 15],
		heartbeat_interval_s: 0.5,
		bounds: {
			grace_s: graceMs / 1000,
			retry_ratio: 0.2,
			retry_window_s: 10,
			retry_slack: 56,
		},
		app_addr: settings.upstreamAddress,
		service: 'pricebook',
		platform: {address: settings.store},
	});
}
