/**
 * Names of span and resource attributes, in the format of OpenTelemetry.
 */
export const attributeNames = {
	serviceName: 'service.name',
	instance: 'service.instance.id',
	dataCentre: 'boragehitch.data_centre',
	requestId: 'boragehitch.request_id',
	attemptId: 'boragehitch.attempt_id',
	team: 'boragehitch.team',
	service: 'boragehitch.service',
	route: 'boragehitch.route',
	host: 'boragehitch.host',
	attempts: 'boragehitch.attempts',
	outcome: 'boragehitch.outcome',
	reason: 'boragehitch.reason',
	queuedMs: 'boragehitch.queued_ms',
	method: 'http.request.method',
	status: 'http.response.status_code',
} as const;
