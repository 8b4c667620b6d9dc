/**
 * Relation of stored orders and directives.
 */
import type {RolloutProgress} from '../../coordination/rollouts/step-rollout.js';
import type {RolloutDirective, StoredRollout} from '../../protocol/rollout.js';

/** Tells whether the stored status of an order is final. */
export function isFinalOrder({status, target}: StoredRollout): boolean {
	return (
		status !== undefined &&
		status.state !== 'active' &&
		status.target === target
	);
}

/** Tells whether a leader has started an order. */
export function isStartedOrder({status, target}: StoredRollout): boolean {
	return status?.target === target;
}

function formatOrderId({name, revision}: StoredRollout): string {
	return `${name} ${revision}`;
}

/** Tells whether a directive is for an order. A final directive is not for an object without a status that has been written since. */
export function isDirectiveFor(
	directive: RolloutDirective,
	order: StoredRollout,
): boolean {
	const name = directive.order.slice(0, directive.order.lastIndexOf(' '));
	const isUnchanged =
		order.status !== undefined || directive.order === formatOrderId(order);
	return (
		name === order.name &&
		directive.target === order.target &&
		(directive.state === 'active' || isUnchanged)
	);
}

/** Creates the first directive for an order. */
export function createDirective(order: StoredRollout): RolloutDirective {
	const {service, target, durationMs = 0, status} = order;
	const state = isFinalOrder(order) ? status!.state : 'active';
	return {
		service,
		order: formatOrderId(order),
		target,
		state,
		share: state === 'completed' ? 1 : 0,
		remainingMs: durationMs,
		durationMs,
		sequence: 0,
	};
}

/** Creates the progress of an order that was first seen at a time, monotonic ms. */
export function createProgress(
	directive: RolloutDirective,
	seenAt: number,
): RolloutProgress {
	const times = {fullSince: undefined, answeredSince: undefined};
	return {directive, seenAt, ...times, snapshots: []};
}
