/**
 * Names of all metrics, without the prefix `boragehitch.`.
 */
export const metricNames = [
	'requests',
	'request.duration_ms',
	'request.added_ms',
	'attempts',
	'attempt.duration_ms',
	'gate.attempts',
	'gate.duration_ms',
	'gate.queued_ms',
	'configuration.version',
	'members.count',
	'members.view_age_ms',
	'control.bytes_sent',
	'control.bytes_received',
] as const;

export type MetricName = (typeof metricNames)[number];
