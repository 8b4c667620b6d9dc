/**
 * Schemas of the parts of measurement files that the capacity page uses.
 */
import {z} from 'zod';

const contextSchema = z.object({
	date: z.string(),
	cores: z.number(),
	memoryBytes: z.number(),
	nodeVersion: z.string(),
	command: z.string(),
	seed: z.number(),
	loadAverage: z.array(z.number()),
});

/** `bench/measurements/members.json`. */
export const membersFileSchema = z.object({
	context: contextSchema,
	headerBytes: z.number(),
	changesPerSecond: z.number(),
	sizes: z.array(
		z.object({
			members: z.number(),
			quietBytesPerSecond: z.number(),
			quietMessagesPerSecond: z.number(),
			quietCpuMsPerSecond: z.number(),
			bytesPerChange: z.number(),
			cpuMsPerChange: z.number(),
			leaveKnownMs: z.number(),
			newUpstreamKnownMs: z.number(),
			deathKnownMs: z.number(),
		}),
	),
	bridges: z.array(
		z.object({
			dataCentres: z.number(),
			bytesPerSecond: z.number(),
			messagesPerSecond: z.number(),
		}),
	),
	herds: z.array(
		z.object({
			members: z.number(),
			returnMs: z.number(),
			peakPlatformCallsPerSecond: z.number(),
			peakBytesPerNodePerSecond: z.number(),
		}),
	),
	memory: z.array(
		z.object({
			members: z.number(),
			bytesPerMember: z.number(),
			recordBytes: z.number(),
		}),
	),
	real: z.array(
		z.object({
			hosts: z.number(),
			quietBytesPerSecond: z.number(),
			quietCpuMsPerSecond: z.number(),
			rssBytes: z.number(),
		}),
	),
});

/** `bench/measurements/config.json`. */
export const configFileSchema = z.object({
	context: contextSchema,
	ways: z.object({
		tree: z.array(
			z.object({
				nodes: z.number(),
				convergenceMs: z.object({p99: z.number(), max: z.number()}),
				bytesPerNodePerChange: z.number(),
				busiestNodeBytesPerSecond: z.number(),
				platformCallsPerSecond: z.number(),
				cpuMsPerChange: z.number(),
				rssBytes: z.number(),
			}),
		),
	}),
});

/** `bench/measurements/requests.json`. */
export const requestsFileSchema = z.object({
	context: contextSchema,
	added: z.array(
		z.object({depth: z.number(), share: z.number(), p99: z.number()}),
	),
	cpuMsPerRequest: z.object({
		callerNode: z.number(),
		gateNode: z.number(),
	}),
});

export type RunContextOfFile = z.infer<typeof contextSchema>;

/** The measurement files; undefined where one is missing or unlike its schema. */
export type Measurements = {
	readonly members: z.infer<typeof membersFileSchema> | undefined;
	readonly config: z.infer<typeof configFileSchema> | undefined;
	readonly requests: z.infer<typeof requestsFileSchema> | undefined;
};
