/**
 * Types and schemas of roll-outs: orders in the store, and what nodes and the
 * leader tell each other about them.
 */
import * as z from 'zod';
import {maxTimerMs} from './constants.js';
import {nameSchema, softwareVersionSchema} from './member.js';

/** States of an order; `completed` and `rolled-back` are final. */
export const rolloutStateSchema = z.enum([
	'active',
	'completed',
	'rolled-back',
]);

export type RolloutState = z.infer<typeof rolloutStateSchema>;

/** An order as stored, which may be invalid. */
export type StoredRollout = {
	/** Name of the object. */
	readonly name: string;
	/** Revision of the object, as of its last write. */
	readonly revision: number;
	readonly service: string;
	readonly target: string;
	/** Undefined when it is missing or not a number. */
	readonly durationMs: number | undefined;
	/** Undefined as long as none has been written. */
	readonly status:
		{readonly state: RolloutState; readonly target: string} | undefined;
};

/** Number of buckets of a histogram of times. */
export const timeBuckets = 24;

const serviceSchema = z.string().max(129);
const countSchema = z.int().min(0);

/** Responses of one version on one route, cumulative since the node started. */
export const versionCountSchema = z.object({
	service: serviceSchema,
	version: softwareVersionSchema,
	route: z.string().max(256),
	responses: countSchema,
	failures: countSchema,
	/** Responses by service time; see `computeTimeBucket`. */
	times: z.array(countSchema).max(timeBuckets),
});

/** What a node reports to the leader. */
export const rolloutReportSchema = z.object({
	from: nameSchema,
	/** Distinguishes the processes of a node, whose counts start at 0. */
	incarnation: countSchema,
	/** List of `versionCountSchema`; an entry that cannot be read costs itself only. */
	counts: z.unknown().optional(),
	/** Directives that the node knows, for a leader that has just started; list of `rolloutDirectiveSchema`. */
	directives: z.unknown().optional(),
	/** Running versions that a settled node knows; list of `runningVersionSchema`. */
	running: z.unknown().optional(),
});

/** What the leader has decided for a service. */
export const rolloutDirectiveSchema = z.object({
	service: serviceSchema,
	/** Identifies the order: name and revision at which it was first seen. */
	order: z.string().max(256),
	target: softwareVersionSchema,
	state: rolloutStateSchema,
	/** Probability with which a request goes to the target. */
	share: z.number().min(0).max(1),
	/** Number of hosts of the target that get requests; undefined for all. */
	hosts: z.int().min(1).optional(),
	/** Time until the deadline, ms. */
	remainingMs: z.number().min(-maxTimerMs).max(maxTimerMs),
	/** Duration of the order, ms. */
	durationMs: z.number().min(0).max(maxTimerMs),
	/** Rises with each change of the directive. */
	sequence: countSchema,
});

/** The leader's answer to a report. */
export const rolloutAnswerSchema = z.object({
	/** List of `rolloutDirectiveSchema`. */
	directives: z.unknown().optional(),
	/** List of `runningVersionSchema`; empty when the answering node has not settled. */
	running: z.unknown().optional(),
	/** Targets of orders that have been started and not completed; list of `startedTargetSchema`. */
	started: z.unknown().optional(),
	/** Whether the answering node knows the orders; nodes of earlier versions state only what they are certain of. */
	isSettled: z.boolean().default(true),
});

/** How a node knows which version runs: by a completed order, by having seen it alone, or by the age of upstreams. */
export const runningBasisSchema = z.enum(['ordered', 'witnessed', 'guessed']);

export type RunningBasis = z.infer<typeof runningBasisSchema>;

/** The version that runs without an order. */
export const runningVersionSchema = z.object({
	service: serviceSchema,
	version: softwareVersionSchema,
	basis: runningBasisSchema.default('witnessed'),
	/** Age of the knowledge, or of the oldest upstream when guessed, ms. */
	ageMs: countSchema.default(0),
});

/** Target of an order that does not run without it. */
export const startedTargetSchema = runningVersionSchema.pick({
	service: true,
	version: true,
});

export type StartedTarget = z.infer<typeof startedTargetSchema>;

export type VersionCount = z.infer<typeof versionCountSchema>;
export type RolloutReport = z.infer<typeof rolloutReportSchema>;
export type RolloutDirective = z.infer<typeof rolloutDirectiveSchema>;
export type RolloutAnswer = z.infer<typeof rolloutAnswerSchema>;
export type RunningVersion = z.infer<typeof runningVersionSchema>;

/** Why a caller's node has chosen a version for a request. */
export type ChoiceReason =
	| 'preferred'
	/** No host has an upstream of the preferred version. */
	| 'no-host'
	/** The preferred version has no capacity. */
	| 'no-capacity'
	/** No version that is allowed has a host. */
	| 'none';

/** A version that was chosen for a request; empty when there is none. */
export type VersionChosen = {
	readonly service: string;
	readonly version: string;
	readonly reason: ChoiceReason;
};

/** Number of requests for which a version was chosen, since the node started. */
export type ChoiceCount = VersionChosen & {readonly count: number};

/** Share and state of a roll-out, for metrics. */
export type RolloutGauge = Pick<
	RolloutDirective,
	'service' | 'target' | 'state' | 'share'
>;
