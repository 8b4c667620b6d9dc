import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {UpstreamFault} from './soak-upstream.js';
import type {ProxyMode} from './start-proxy.js';

/** What is disturbed, and how. */
export type Disturbance =
	| {readonly kind: 'restart' | 'reload' | 'new-life'; readonly host: number}
	| {readonly kind: 'kill' | 'freeze'; readonly host: number}
	| {
			readonly kind: 'upstream';
			readonly host: number;
			readonly fault: UpstreamFault;
	  }
	| {
			readonly kind: 'link';
			readonly host: number;
			readonly link: 'upstream' | 'store';
			readonly mode: ProxyMode;
	  }
	| {readonly kind: 'store'; readonly fault: 'down' | 'slow' | 'lose-answers'}
	| {readonly kind: 'configuration'};

/** A disturbance with its times, ms from the start. */
export type PlannedDisturbance = {
	readonly at: number;
	readonly durationMs: number;
	readonly disturbance: Disturbance;
};

/** Options of `planDisturbances`. */
export type PlanOptions = {
	readonly seed: number;
	readonly hosts: number;
	readonly durationMs: number;
	/** Mean time between two, ms. */
	readonly meanGapMs: number;
};

const upstreamFaults: readonly UpstreamFault[] = [
	{kind: 'slow', serviceMs: 300},
	{kind: 'lose-answers'},
	{kind: 'repeat-answers'},
	{kind: 'garble'},
	{kind: 'limit', perSecond: 8},
	{kind: 'limit', perSecond: 0.5},
	{kind: 'leave'},
];

const modes: readonly ProxyMode[] = [
	{kind: 'delay', delayMs: 80},
	{kind: 'silent', ways: 'both'},
	{kind: 'silent', ways: 'back'},
	{kind: 'reset'},
];

/** Other disturbances for each silence. */
const gapsPerSilence = 4;

/** Separates the numbers of silences from those of the other disturbances. */
const silenceSeedOffset = 1_000_003;

const storeFaults = ['down', 'slow', 'lose-answers'] as const;

/**
 * Plans the disturbances of a run: in series, and overlapping.
 *
 * @param options - see `PlanOptions`
 * @returns the disturbances in order; the same for the same options
 */
export function planDisturbances({
	seed,
	hosts,
	durationMs,
	meanGapMs,
}: PlanOptions): readonly PlannedDisturbance[] {
	const generator = xoroshiro128plus(seed);
	const draw = (): number => uniformFloat64(generator);

	function pick<Item>(items: readonly Item[]): Item {
		return items[Math.floor(draw() * items.length)]!;
	}

	function pickDisturbance(): Disturbance {
		const host = Math.floor(draw() * hosts);
		const kinds: ReadonlyArray<() => Disturbance> = [
			() => ({kind: pick(['restart', 'reload', 'new-life']), host}),
			() => ({kind: pick(['kill', 'freeze']), host}),
			() => ({kind: 'upstream', host, fault: pick(upstreamFaults)}),
			() => ({kind: 'upstream', host, fault: pick(upstreamFaults)}),
			() => ({
				kind: 'link',
				host,
				link: pick(['upstream', 'store']),
				mode: pick(modes),
			}),
			() => ({kind: 'store', fault: pick(storeFaults)}),
			() => ({kind: 'configuration'}),
		];
		return pick(kinds)();
	}

	const planned: PlannedDisturbance[] = [];
	for (let at = 0; at < durationMs; at += draw() * 2 * meanGapMs) {
		const disturbance = pickDisturbance();
		planned.push({at, durationMs: 300 + draw() * 5000, disturbance});
	}

	return [
		...planned,
		...planSilences({seed, hosts, durationMs, meanGapMs}),
	].toSorted((a, b) => a.at - b.at);
}

/**
 * Plans when upstreams fall silent as they are full. It has numbers of its own,
 * so that the other disturbances of a seed stay what they were.
 */
function planSilences({
	seed,
	hosts,
	durationMs,
	meanGapMs,
}: PlanOptions): readonly PlannedDisturbance[] {
	const generator = xoroshiro128plus(seed + silenceSeedOffset);
	const draw = (): number => uniformFloat64(generator);
	const planned: PlannedDisturbance[] = [];
	const meanSilenceGapMs = meanGapMs * gapsPerSilence;
	for (
		let at = draw() * meanSilenceGapMs;
		at < durationMs;
		at += draw() * 2 * meanSilenceGapMs
	) {
		planned.push({
			at,
			durationMs: 300 + draw() * 5000,
			disturbance: {
				kind: 'upstream',
				host: Math.floor(draw() * hosts),
				fault: {kind: 'silent', slots: 1 + Math.floor(draw() * 2)},
			},
		});
	}

	return planned;
}
