import type {RequestObserver} from '../../protocol/observer.js';

/**
 * Combines observers into one that calls each of them in order.
 *
 * A handler that no observer has is left undefined, so that tasks skip it.
 *
 * @param observers - the observers; trace contexts come from the first one that
 * creates them
 * @returns the combined observer
 */
export function combineObservers(
	observers: readonly RequestObserver[],
): RequestObserver {
	function combine<Event>(
		handlers: ReadonlyArray<((event: Event) => void) | undefined>,
	): ((event: Event) => void) | undefined {
		const present = handlers.filter((handler) => handler !== undefined);
		if (present.length < 2) {
			return present[0];
		}

		return (event) => {
			for (const handler of present) {
				handler(event);
			}
		};
	}

	return {
		createTraceparent: observers.find((item) => item.createTraceparent)
			?.createTraceparent,
		onRequest: combine(observers.map(({onRequest}) => onRequest)),
		onRefusal: combine(observers.map(({onRefusal}) => onRefusal)),
		onAttempt: combine(observers.map(({onAttempt}) => onAttempt)),
		onGate: combine(observers.map(({onGate}) => onGate)),
		onCrash: combine(observers.map(({onCrash}) => onCrash)),
	};
}
