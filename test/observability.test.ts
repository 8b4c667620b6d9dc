import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import type {IncomingMessage} from 'node:http';
import {json} from 'node:stream/consumers';
import test from 'node:test';
import {request} from 'undici';
import {z} from 'zod';
import {createCostlineManifest} from '../demo/costline-manifest.js';
import {pollUntil} from '../harness/poll-until.js';
import {startHost} from '../harness/start-host.js';
import {startProcess} from '../harness/start-process.js';
import {metricNames} from '../src/protocol/metric-names.js';
import {startServer} from '../src/transport/_lib/start-server.js';

const traceId = '0af7651916cd43dd8448eb211c80319c';
const callerSpanId = 'b7ad6b7169203331';
const spanSchema = z.looseObject({
	name: z.string(),
	traceId: z.string(),
	spanId: z.string(),
	parentSpanId: z.string().optional(),
	attributes: z.array(z.looseObject({key: z.string()})),
});
const exportSchema = z.object({
	resourceSpans: z.array(
		z.looseObject({
			scopeSpans: z.array(z.looseObject({spans: z.array(spanSchema)})),
		}),
	),
});

type Span = z.infer<typeof spanSchema>;

function findParentNames(spans: readonly Span[]): Record<string, string> {
	const names = new Map(spans.map(({spanId, name}) => [spanId, name]));
	return Object.fromEntries(
		spans.map(({name, parentSpanId = ''}) => [
			name,
			names.get(parentSpanId) ?? parentSpanId,
		]),
	);
}

async function readSpans(message: IncomingMessage): Promise<Span[]> {
	const body = exportSchema.parse(await json(message));
	return body.resourceSpans.flatMap(({scopeSpans}) =>
		scopeSpans.flatMap((scope) => scope.spans),
	);
}

test('a request leaves a span for each hop and the documented metrics', async (t) => {
	const spans: Span[] = [];
	const receiver = await startServer('127.0.0.1:0', (message, response) => {
		void readSpans(message).then((received) => {
			spans.push(...received);
			response.end('{}');
		});
	});
	t.after(receiver.stop);
	const lines = new Set<string>();
	const statsd = createSocket('udp4');
	statsd.on('message', (packet) => {
		for (const line of packet.toString().split('\n')) {
			lines.add(line);
		}
	});
	await new Promise<void>((resolve) => {
		statsd.bind(0, '127.0.0.1', resolve);
	});
	t.after(() => {
		statsd.close();
	});

	const platform = await startProcess('platform', []);
	t.after(platform.stop);
	const settings = {
		trace: {
			export: 'otlp',
			url: `http://${receiver.address}/v1/traces`,
			sampleRatio: '0',
		},
		metrics: {statsd: `127.0.0.1:${statsd.address().port}`, sampleRatio: '1'},
	};
	const place = {
		dataCentre: 'abdali',
		platformUrl: platform.ready.url!,
		team: 'kitchens',
		settings,
	};
	const caller = await startHost({...place, name: 'abdali-1'});
	t.after(caller.stop);
	const callee = await startHost({
		...place,
		name: 'abdali-2',
		service: 'pricebook',
	});
	t.after(callee.stop);
	await request(`http://${caller.node.ready.administration}/manifests`, {
		method: 'POST',
		body: JSON.stringify(createCostlineManifest(0)),
	});

	const url = `http://${caller.node.ready.callers}/kitchens/prices/lamb`;
	const isServed = await pollUntil(async () => {
		const {statusCode} = await request(url);
		return statusCode === 200;
	}, 10_000);
	assert.ok(isServed);
	await request(url, {
		headers: {traceparent: `00-${traceId}-${callerSpanId}-01`},
	});

	assert.ok(
		await pollUntil(async () => spans.length >= 4, 10_000),
		`spans: ${spans.map(({name}) => name).join(', ')}`,
	);
	assert.ok(spans.every((span) => span.traceId === traceId));
	assert.deepEqual(findParentNames(spans), {
		request: callerSpanId,
		attempt: 'request',
		gate: 'attempt',
		upstream: 'gate',
	});

	const documented = new Set<string>(metricNames);
	const sent = () =>
		new Set(
			[...lines].map((line) =>
				line.split(':', 1)[0]!.replace('boragehitch.', ''),
			),
		);
	const perRequest = metricNames.filter((name) =>
		/^(?:request|attempt|gate)/v.test(name),
	);
	assert.ok(
		await pollUntil(
			async () => perRequest.every((name) => sent().has(name)),
			10_000,
		),
		[...sent()].join(' '),
	);
	assert.ok(
		[...lines].some((line) =>
			/^boragehitch\.requests:[1-9]\d*\|c\|#.*node:abdali-1.*team:kitchens.*outcome:answered/v.test(
				line,
			),
		),
		[...lines].join('\n'),
	);
	assert.ok([...sent()].every((name) => documented.has(name)));
});
