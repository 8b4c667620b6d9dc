import {request} from 'undici';
import {z} from 'zod';

const callsSchema = z.object({
	reads: z.number(),
	writes: z.number(),
	watches: z.number(),
});

/**
 * Reads how many calls a platform stand-in has had, a watch counting as one.
 *
 * @param platformUrl - base URL of the stand-in
 * @returns the number of calls
 * @throws when it does not answer
 * @example
 * await readPlatformCalls('http://127.0.0.1:9000');
 */
export async function readPlatformCalls(platformUrl: string): Promise<number> {
	const {body} = await request(`${platformUrl}/control/calls`);
	const {reads, writes, watches} = callsSchema.parse(await body.json());
	return reads + writes + watches;
}
