import type {DocumentRoute} from '../../protocol/routing-document.js';

/** Tells whether two routes of documents are equal in all fields. */
export function isSameRoute(a: DocumentRoute, b: DocumentRoute): boolean {
	return (
		a.name === b.name &&
		a.host === b.host &&
		a.pathPrefix === b.pathPrefix &&
		a.repeatable === b.repeatable &&
		a.timeoutMs === b.timeoutMs &&
		a.objectiveMs === b.objectiveMs &&
		a.priority === b.priority &&
		a.maxAttempts === b.maxAttempts &&
		a.isPublic === b.isPublic &&
		a.targets.length === b.targets.length &&
		a.targets.every(({service, weight}, index) => {
			const other = b.targets[index]!;
			return service === other.service && weight === other.weight;
		})
	);
}
