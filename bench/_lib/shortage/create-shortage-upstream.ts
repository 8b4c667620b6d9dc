import type {Scheduler} from '../../../harness/create-scheduler.js';
import type {RequestClass, ShortageHost} from './shortage-parameters.js';

/** A run of a request at an upstream. */
export type UpstreamRun = {
	readonly requestClass: RequestClass;
	/** When the upstream gives it up, ms. */
	readonly deadlineAt: number;
	/** Called once with its status; `calls-failed` is a 500 for a call that failed. */
	readonly onEnd: (status: 'ok' | 'calls-failed' | 'deadline') => void;
};

/** A call that an upstream makes through the node on its host. */
export type UpstreamCall = {
	readonly requestClass: RequestClass;
	readonly deadlineMs: number;
	readonly onEnd: (isAnswered: boolean) => void;
};

/** Options of `createShortageUpstream`. */
export type ShortageUpstreamOptions = {
	readonly scheduler: Scheduler;
	readonly host: ShortageHost;
	readonly classes: ReadonlyMap<string, RequestClass>;
	readonly call: (call: UpstreamCall) => void;
	/** When it started; before that it was warm, ms. */
	readonly coldSince: number;
};

/** An upstream in virtual time; its gate keeps to its slots. */
export type ShortageUpstream = {
	run(run: UpstreamRun): void;
};

const coldMs = 3000;
const coldFactor = 2;
const tailShare = 0.01;
const tailFactor = 3;
/** Part of the work that is done before the calls. */
const workBeforeCalls = 0.3;

/**
 * Creates an upstream in virtual time.
 *
 * @param options - see `ShortageUpstreamOptions`
 * @returns the upstream
 */
export function createShortageUpstream(
	options: ShortageUpstreamOptions,
): ShortageUpstream {
	const {scheduler, host, classes, coldSince} = options;
	const {now, random} = scheduler;

	function drawNormal(): number {
		return (
			Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
		);
	}

	function drawWorkMs({workMs, spread}: RequestClass): number {
		const factor = Math.exp(spread * drawNormal() - spread ** 2 / 2);
		const tail = random() < tailShare ? tailFactor : 1;
		const cold = now() - coldSince < coldMs ? coldFactor : 1;
		return (workMs * factor * tail * cold) / host.speed;
	}

	return {
		run({requestClass, deadlineAt, onEnd}) {
			const {calls} = requestClass;
			const workMs = drawWorkMs(requestClass);
			let hasEnded = false;

			function end(status: 'ok' | 'calls-failed' | 'deadline'): void {
				if (!hasEnded) {
					hasEnded = true;
					cancelDeadline();
					onEnd(status);
				}
			}

			const cancelDeadline = scheduler.schedule(deadlineAt - now(), () => {
				end('deadline');
			});
			if (!calls || random() >= calls.share) {
				scheduler.schedule(workMs, () => {
					end('ok');
				});
				return;
			}

			const called = classes.get(calls.name)!;
			let open = calls.count;

			function endCall(isAnswered: boolean): void {
				open--;
				if (!isAnswered) {
					end('calls-failed');
				} else if (open === 0 && !hasEnded) {
					scheduler.schedule(workMs * (1 - workBeforeCalls), () => {
						end('ok');
					});
				}
			}

			scheduler.schedule(workMs * workBeforeCalls, () => {
				if (hasEnded) {
					return;
				}

				const call: UpstreamCall = {
					requestClass: called,
					deadlineMs: Math.min(called.deadlineMs, deadlineAt - now()),
					onEnd: endCall,
				};
				for (let index = 0; index < calls.count; index++) {
					options.call(call);
				}
			});
		},
	};
}
