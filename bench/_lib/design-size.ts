/**
 * The size to design for, as the letter gives it, and what follows from it.
 */
export const designSize = {
	servers: 22_000,
	services: 1000,
	dataCentres: 18,
	regions: 6,
	callsPerSecond: 8_300_000,
	addedMs: 0.86,
	configurationChangesPerSecond: 97_000 / 86_400,
	inForceMs: 5000,
	cpuMsPerSecond: 39,
	memoryBytes: 128 * 1024 * 1024,
	bytesPerSecond: 17 * 1024,
	failuresPerDay: 64,
	restartsPerDay: 2900,
	platformReadsPerSecond: 2000,
	platformWritesPerSecond: 300,
	/** Servers of a rack; the letter gives none. */
	assumedServersPerRack: 40,
} as const;

/** Servers of one data centre. */
export const serversPerDataCentre = Math.ceil(
	designSize.servers / designSize.dataCentres,
);
