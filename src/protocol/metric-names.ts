/**
 * Names of all StatsD metrics, without the prefix `boragehitch.`.
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

/**
 * Names of the metrics that a node started by a platform serves in a text format.
 */
export const meshMetricNames = {
	requests: 'boragehitch_requests_total',
	tenantRequests: 'boragehitch_tenant_requests_total',
	requestMs: 'boragehitch_request_duration_ms',
	refusals: 'boragehitch_refusals_total',
	attempts: 'boragehitch_attempts_total',
	gateAttempts: 'boragehitch_gate_attempts_total',
	queuedMs: 'boragehitch_gate_queued_ms',
	acceptMs: 'boragehitch_accept_wait_ms',
	sendWaitMs: 'boragehitch_send_wait_ms',
	upstreamCrashes: 'boragehitch_upstream_crashes_total',
	version: 'boragehitch_configuration_version',
	proofAgeMs: 'boragehitch_configuration_proof_age_ms',
	unreadableParts: 'boragehitch_configuration_unreadable_parts',
	members: 'boragehitch_members',
	inFlight: 'boragehitch_requests_in_flight',
	rateLimit: 'boragehitch_upstream_rate_limit',
	quarantined: 'boragehitch_quarantined_requests',
	quotaTokens: 'boragehitch_quota_tokens_total',
	rolloutRunning: 'boragehitch_rollout_running',
	rolloutChoices: 'boragehitch_rollout_choices_total',
	rolloutShare: 'boragehitch_rollout_share',
	rolloutResponses: 'boragehitch_rollout_responses',
	memory: 'boragehitch_memory_bytes',
	processorSeconds: 'boragehitch_processor_seconds_total',
	eventLoopSeconds: 'boragehitch_event_loop_seconds_total',
	eventLoopLagMs: 'boragehitch_event_loop_lag_ms',
	controlBytes: 'boragehitch_control_bytes_total',
} as const;
