import assert from 'node:assert/strict';
import test from 'node:test';
import {meshMetricNames} from '../protocol/metric-names.js';
import {createMeshMetrics} from './create-mesh-metrics.js';

test('observed events are served as text by name, service and outcome', async () => {
	const metrics = createMeshMetrics({
		readQuota: () => ({asked: 5, granted: 4, returned: 3, ownShare: 2}),
		readGauges: () => ({
			version: 12,
			proofAgeMs: 1250,
			unreadableParts: 2,
			members: 10,
			inFlight: 3,
			rateLimit: 12.6,
			quarantined: 2,
			lagMs: 7,
			rollouts: [
				{service: 'pricebook', target: 'v2', state: 'active', share: 0.04},
			],
			runningVersions: [
				{service: 'pricebook', version: 'v1', basis: 'guessed', ageMs: 0},
			],
			versionChoices: [
				{service: 'pricebook', version: 'v2', reason: 'no-capacity', count: 4},
			],
			versionCounts: [
				{
					service: 'pricebook',
					version: 'v2',
					route: 'prices',
					responses: 5,
					failures: 2,
					times: [],
				},
			],
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
		tenant: 'linden',
	});
	metrics.observer.onRefusal?.({
		place: 'caller',
		route: 'prices',
		reason: 'overloaded',
		isReturned: false,
		tenant: 'linden',
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
	assert.match(
		text,
		/^boragehitch_quota_tokens_total\{kind="own-share"\} 2$/mv,
	);
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
	for (const reason of ['saturated', 'overloaded']) {
		assert.ok(
			text.includes(
				`boragehitch_tenant_requests_total{tenant="linden",outcome="not-run",reason="${reason}"} 1`,
			),
		);
	}

	assert.match(
		text,
		/boragehitch_rollout_running\{service="pricebook",version="v1",basis="guessed"\} 1/v,
	);
	assert.match(
		text,
		/boragehitch_rollout_choices_total\{service="pricebook",version="v2",reason="no-capacity"\} 4/v,
	);
	assert.match(
		text,
		/boragehitch_rollout_share\{service="pricebook",version="v2",state="active"\} 0.04/v,
	);
	assert.match(
		text,
		/boragehitch_rollout_responses\{service="pricebook",version="v2",route="prices",result="failed"\} 2/v,
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
