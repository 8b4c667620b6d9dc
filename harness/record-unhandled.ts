import process from 'node:process';
import type {TestContext} from 'node:test';

/**
 * Records the errors that would end a process, until the end of a test.
 *
 * @param t - the test
 * @returns the errors as text, filled while the test runs
 */
export function recordUnhandled(t: TestContext): readonly string[] {
	const unhandled: string[] = [];
	const record = (error: unknown): void => {
		unhandled.push(String(error));
	};

	process.on('unhandledRejection', record);
	process.on('uncaughtException', record);
	t.after(() => {
		process.off('unhandledRejection', record);
		process.off('uncaughtException', record);
	});
	return unhandled;
}
