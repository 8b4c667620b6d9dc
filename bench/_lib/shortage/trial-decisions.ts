/**
 * Variants of the product's decisions, each with one thing changed.
 */
import {isKnownFull} from '../../../src/coordination/is-known-full.js';
import {createPressureAdmission} from './create-pressure-admission.js';
import {createThrottleAdmission} from './create-throttle-admission.js';
import {productAdmission, productDecisions} from './product-decisions.js';
import type {
	NodeInput,
	PickInput,
	ShortageDecisions,
} from './shortage-decisions.js';

/** Age at which the lag of a host is no longer known, ms. */
const lagExpiryMs = 500;
/** Lag above which a host is passed over, ms. */
const maxHostLagMs = 40;
/** Share of the slots in use up to which the own host is taken. */
const ownLoadShare = 0.8;
/** Time of a turn for new requests, ms. */
const startMs = 4;

function rankRequest({isCall, priority, objectiveMs}: NodeInput): number {
	const classRank = isCall ? -1 : priority;
	return classRank * 10_000 + objectiveMs;
}

function pickLagAware(
	input: PickInput,
): ReturnType<ShortageDecisions['pickHost']> {
	const {candidates, lags, options, host, ownLagMs} = input;
	const {now, exclude = new Set<string>()} = options;
	const late = candidates.filter(({host: name}) => {
		const known = lags.get(name);
		const lagMs = name === host ? ownLagMs : (known?.ms ?? 0);
		const isKnown =
			name === host || (known !== undefined && now - known.at < lagExpiryMs);
		return isKnown && lagMs > maxHostLagMs;
	});
	const excluded = new Set([...exclude, ...late.map(({host: name}) => name)]);
	const isNoneLeft = candidates.every(({host: name}) => excluded.has(name));
	return productDecisions.pickHost({
		...input,
		options: {...options, exclude: isNoneLeft ? exclude : excluded},
	});
}

function pickOwnFirst(
	input: PickInput,
): ReturnType<ShortageDecisions['pickHost']> {
	const {candidates, records, host, options} = input;
	const own = candidates.find(({host: name}) => name === host);
	const record = records.get(host);
	const isUsable =
		own &&
		!options.exclude?.has(host) &&
		!isKnownFull(record, options.admissionClass, options.now) &&
		(record?.reportedShare ?? 0) + (record?.ownInFlight ?? 0) / own.slots <
			ownLoadShare;
	return isUsable ? own : productDecisions.pickHost(input);
}

/** The variants, by name. */
export const trialDecisions: readonly ShortageDecisions[] = [
	{
		...productDecisions,
		name: 'answers first',
		computeRank: () => 0,
		deferredMs: startMs,
	},
	{
		...productDecisions,
		name: 'answers and calls first',
		computeRank: rankRequest,
		deferredMs: startMs,
	},
	{
		...productDecisions,
		name: 'calls admitted',
		createAdmission: () => ({
			...productAdmission,
			decideCaller: (input) =>
				input.isCall || productAdmission.decideCaller(input),
			decideGate: (input) => input.isCall || productAdmission.decideGate(input),
		}),
	},
	{...productDecisions, name: '8 accepts a turn', acceptsPerTurn: 8},
	{...productDecisions, name: 'lag-aware hosts', pickHost: pickLagAware},
	{...productDecisions, name: 'own host first', pickHost: pickOwnFirst},
	{
		...productDecisions,
		name: 'pressure 20 ms',
		createAdmission: () =>
			createPressureAdmission({
				targetLagMs: 20,
				hasHostLags: false,
				hasFinalRefusals: false,
			}),
	},
	{
		...productDecisions,
		name: 'pressure of all 20 ms',
		createAdmission: () =>
			createPressureAdmission({
				targetLagMs: 20,
				hasHostLags: true,
				hasFinalRefusals: false,
			}),
	},
	{
		...productDecisions,
		name: 'pressure of all 40 ms',
		createAdmission: () =>
			createPressureAdmission({
				targetLagMs: 40,
				hasHostLags: true,
				hasFinalRefusals: false,
			}),
	},
	{
		...productDecisions,
		name: 'final refusals 20 ms',
		createAdmission: () =>
			createPressureAdmission({
				targetLagMs: 20,
				hasHostLags: true,
				hasFinalRefusals: true,
			}),
	},
	{...productDecisions, name: 'gates admit all', hasGateAdmission: false},
	{
		...productDecisions,
		name: 'accept all',
		acceptsPerTurn: 64,
		releasesPerTurn: 64,
	},
	{
		...productDecisions,
		name: 'throttle',
		createAdmission: () => createThrottleAdmission(false),
	},
	{
		...productDecisions,
		name: 'throttle with final refusals',
		createAdmission: () => createThrottleAdmission(true),
	},
	{
		...productDecisions,
		name: 'throttle and order',
		createAdmission: () => createThrottleAdmission(false),
		computeRank: rankRequest,
		deferredMs: startMs,
	},
];
