import type {
	DocumentEffect,
	StoredDocumentOutcome,
} from '../../src/coordination/document-state.js';
import type {Scheduler} from '../create-scheduler.js';

/** Call of a node to the store. */
export type VersionStoreCall = DocumentEffect & {
	readonly kind: 'read' | 'check' | 'watch';
};

/** Creates a store of a document whose versions are written at known times. */
export function createVersionStore(
	now: Scheduler['now'],
	schedule: Scheduler['schedule'],
) {
	/** When each version was written, version 1 first. */
	const writtenAt = [0];
	const watches = new Set<() => void>();

	return {
		writtenAt,
		/** Writes the next version and answers all watches. */
		write() {
			writtenAt.push(now());
			for (const answer of watches) {
				answer();
			}
		},
		/** Answers a call at once, or a watch when there is a change or its wait ends. */
		call(
			effect: VersionStoreCall,
			answer: (outcome: StoredDocumentOutcome) => void,
		) {
			const isWatch = effect.kind === 'watch';
			const after = isWatch ? effect.revision : 0;

			function send(): void {
				watches.delete(send);
				cancel();
				const revision = writtenAt.length;
				const newest = {version: revision, routes: [], services: {}};
				const document = revision > after ? newest : undefined;
				answer(
					effect.kind === 'check'
						? {kind: 'revision', revision, era: 1}
						: {kind: 'read', document, revision, era: 1},
				);
			}

			const isUnchanged = writtenAt.length === after;
			const cancel = schedule(isWatch && isUnchanged ? effect.waitMs : 0, send);
			if (isUnchanged) {
				watches.add(send);
			}
		},
	};
}
