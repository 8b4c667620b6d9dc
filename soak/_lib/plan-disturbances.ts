import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {UpstreamFault} from './soak-upstream.js';
import type {ProxyMode} from './start-proxy.js';

/** What is disturbed, and how. */
export type Disturbance =
	| {readonly kind: 'restart' | 'reload' | 'new-life'; readonly host: number}
	| {readonly kind: 'kill' | 'freeze' | 'starve'; readonly host: number}
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

/** Which disturbances a run has: all kinds, or planned work beside nodes that lack processor time. */
export type SoakProfile = 'all' | 'planned';

/** Options of `planDisturbances`. */
export type PlanOptions = {
	readonly seed: number;
	/** `all` when absent. */
	readonly profile?: SoakProfile;
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

/** Other disturbances for each upstream with stray refusals. */
const gapsPerRefusal = 6;

/** Separates the numbers of silences from those of the other disturbances. */
const silenceSeedOffset = 1_000_003;

const storeFaults = ['down', 'slow', 'lose-answers'] as const;

/** Separates the numbers of planned work and stray refusals from those of the other disturbances. */
const plannedSeedOffset = 2_000_003;
const refusalSeedOffset = 3_000_017;

type Draw = () => number;

function createDraw(seed: number): Draw {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

function pick<Item>(draw: Draw, items: readonly Item[]): Item {
	return items[Math.floor(draw() * items.length)]!;
}

/** Plans disturbances at random times with a mean gap. */
function planSeries(
	draw: Draw,
	{
		durationMs,
		meanGapMs,
		firstAt,
	}: Pick<PlanOptions, 'durationMs' | 'meanGapMs'> & {
		readonly firstAt: number;
	},
	planNext: () => Omit<PlannedDisturbance, 'at'>,
): readonly PlannedDisturbance[] {
	const planned: PlannedDisturbance[] = [];
	for (let at = firstAt; at < durationMs; at += draw() * 2 * meanGapMs) {
		planned.push({at, ...planNext()});
	}

	return planned;
}

function drawDuration(draw: Draw): number {
	return 300 + draw() * 5000;
}

/** Plans disturbances of all kinds but silences and stray refusals. */
function planMixed(options: PlanOptions): readonly PlannedDisturbance[] {
	const {seed, hosts} = options;
	const draw = createDraw(seed);
	return planSeries(draw, {...options, firstAt: 0}, () => {
		const host = Math.floor(draw() * hosts);
		const kinds: ReadonlyArray<() => Disturbance> = [
			() => ({kind: pick(draw, ['restart', 'reload', 'new-life']), host}),
			() => ({kind: pick(draw, ['kill', 'freeze']), host}),
			() => ({kind: 'upstream', host, fault: pick(draw, upstreamFaults)}),
			() => ({kind: 'upstream', host, fault: pick(draw, upstreamFaults)}),
			() => ({
				kind: 'link',
				host,
				link: pick(draw, ['upstream', 'store']),
				mode: pick(draw, modes),
			}),
			() => ({kind: 'store', fault: pick(draw, storeFaults)}),
			() => ({kind: 'configuration'}),
		];
		const disturbance = pick(draw, kinds)();
		return {disturbance, durationMs: drawDuration(draw)};
	});
}

/** Plans restarts, reloads and configurations, and nodes that lack processor time. */
function planPlannedWork(options: PlanOptions): readonly PlannedDisturbance[] {
	const {seed, hosts} = options;
	const draw = createDraw(seed + plannedSeedOffset);
	return planSeries(draw, {...options, firstAt: 0}, () => {
		const host = Math.floor(draw() * hosts);
		const kinds: readonly Disturbance[] = [
			{kind: 'restart', host},
			{kind: 'restart', host},
			{kind: 'reload', host},
			{kind: 'starve', host},
			{kind: 'starve', host},
			{kind: 'configuration'},
		];
		const disturbance = pick(draw, kinds);
		return {disturbance, durationMs: drawDuration(draw)};
	});
}

/**
 * Plans when upstreams write refusals that name no request. It has numbers of
 * its own, so that the other disturbances of a seed stay what they were.
 */
function planStrayRefusals(
	options: PlanOptions,
): readonly PlannedDisturbance[] {
	const draw = createDraw(options.seed + refusalSeedOffset);
	const meanGapMs = options.meanGapMs * gapsPerRefusal;
	const firstAt = draw() * meanGapMs;
	return planSeries(draw, {...options, meanGapMs, firstAt}, () => ({
		durationMs: drawDuration(draw),
		disturbance: {
			kind: 'upstream',
			host: Math.floor(draw() * options.hosts),
			fault: {kind: 'stray-refusals'},
		},
	}));
}

/**
 * Plans the disturbances of a run: in series, and overlapping.
 *
 * @param options - see `PlanOptions`
 * @returns the disturbances in order; the same for the same options
 */
export function planDisturbances(
	options: PlanOptions,
): readonly PlannedDisturbance[] {
	const {profile = 'all'} = options;
	switch (profile) {
		case 'all': {
			return [
				...planMixed(options),
				...planSilences(options),
				...planStrayRefusals(options),
			].toSorted((a, b) => a.at - b.at);
		}

		case 'planned': {
			return planPlannedWork(options);
		}
	}
}

/**
 * Plans when upstreams fall silent as they are full. It has numbers of its own,
 * so that the other disturbances of a seed stay what they were.
 */
function planSilences(options: PlanOptions): readonly PlannedDisturbance[] {
	const draw = createDraw(options.seed + silenceSeedOffset);
	const meanGapMs = options.meanGapMs * gapsPerSilence;
	const firstAt = draw() * meanGapMs;
	return planSeries(draw, {...options, meanGapMs, firstAt}, () => ({
		durationMs: drawDuration(draw),
		disturbance: {
			kind: 'upstream',
			host: Math.floor(draw() * options.hosts),
			fault: {kind: 'silent', slots: 1 + Math.floor(draw() * 2)},
		},
	}));
}
