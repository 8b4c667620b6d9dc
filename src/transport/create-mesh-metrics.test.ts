import assert from 'node:assert/strict';
import test from 'node:test';
import {meshMetricNames} from '../protocol/metric-names.js';
import {createMeshMetrics} from './create-mesh-metrics.js';

test('observed events are served as text by name, service and outcome', async () => {
	const metrics = createMeshMetrics({
		readGauges: () => ({
			version: 12,
			unreadableParts: 2,
			members: 10,
			inFlight: 3,
			rateLimit: 12.6,
			quarantined: 2,
			runShare: 1,
			nestedRoutes: 0,
			lagMs: 7,
		}),
		takeBytes: () => [{purpose: 'document', sent: 400, received: 7}],
	});
	const event = {
		requestId: 'a',
		team: '',
		service: 'pricebook',
		outcome: 'not-run' as const,
		reason: 'saturated' as const,
		status: 0,
		startedAtMs: 0,
		durationMs: 30,
		parentTraceparent: undefined,
		traceparent: undefined,
	};
	metrics.observer.onRequest?.({
		...event,
		route: 'prices',
		method: 'GET',
		attempts: 1,
		lagMs: 0,
		isReturned: true,
	});
	metrics.observer.onRefusal?.({
		place: 'caller',
		route: 'prices',
		reason: 'overloaded',
		isReturned: false,
		hasFreeSlot: undefined,
	});
	metrics.observer.onRefusal?.({
		place: 'gate',
		route: undefined,
		reason: 'saturated',
		isReturned: undefined,
		hasFreeSlot: true,
	});
	metrics.observer.onAttempt?.({
		...event,
		attemptId: 'a/1',
		attempt: 1,
		host: 'abdali-1',
		hadStamp: true,
		sendWaitMs: 3,
	});
	metrics.observer.onGate?.({
		...event,
		attemptId: 'a/1',
		queuedMs: 12,
		ageMs: undefined,
		unreadMs: 0,
		isForwarded: true,
		sendWaitMs: undefined,
	});
	metrics.observer.onCrash?.({id: 'a.1', service: 'pricebook'});
	metrics.recordAcceptWait('callers', 30);
	const text = await metrics.formatText();
	for (const name of Object.values(meshMetricNames)) {
		assert.match(text, new RegExp(`^${name}`, 'mv'));
	}

	assert.match(
		text,
		/boragehitch_requests_total\{service="pricebook",outcome="not-run",reason="saturated",returned="yes"\} 1/v,
	);
	assert.match(
		text,
		/boragehitch_refusals_total\{place="caller",route="prices",reason="overloaded",returned="no",slot="unknown"\} 1/v,
	);
	assert.match(
		text,
		/boragehitch_refusals_total\{place="gate",route="none",reason="saturated",returned="unknown",slot="free"\} 1/v,
	);
	assert.match(text, /boragehitch_event_loop_lag_ms 7/v);
	assert.match(
		text,
		/boragehitch_processor_seconds_total\{mode="user"\} [\d.]+/v,
	);
	assert.match(text, /boragehitch_event_loop_seconds_total [\d.]+/v);
	assert.match(text, /boragehitch_configuration_version 12/v);
	assert.match(
		text,
		/boragehitch_request_duration_ms_bucket\{le="50",service="pricebook"\} 1/v,
	);
	assert.match(
		text,
		/boragehitch_gate_queued_ms_bucket\{le="10",service="pricebook"\} 0/v,
	);
	assert.match(
		text,
		/boragehitch_send_wait_ms_bucket\{le="5",receiver="gate"\} 1/v,
	);
	assert.match(
		text,
		/boragehitch_accept_wait_ms_bucket\{le="50",server="callers"\} 1/v,
	);
	await metrics.formatText();
	assert.match(
		await metrics.formatText(),
		/boragehitch_control_bytes_total\{purpose="document",direction="sent"\} 1200/v,
	);
});
