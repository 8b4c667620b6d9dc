import type {Configuration} from '../../../protocol/configuration.js';
import type {Announcement, MembersView} from '../../../protocol/member.js';
import type {Logger} from '../../create-logger.js';
import type {PlatformClient} from '../../platform-client.js';
import type {CommitTask} from '../../start-commit-task.js';

/** Options of `startAdministrationTask`: what its handlers read and call. */
export type AdministrationTaskOptions = {
	/** Address to listen on, as `IP:PORT`. */
	readonly address: string;
	readonly commit: CommitTask;
	readonly platform: PlatformClient;
	/** Returns the configuration in force on this node. */
	readonly readConfiguration: () => Configuration;
	/** Returns the newest configuration that this node holds. */
	readonly readNewestConfiguration: () => Configuration;
	readonly readView: () => MembersView;
	/** Returns the bytes of control traffic sent and received so far. */
	readonly readControlBytes: () => number;
	/** Handles an announcement; returns `ignored` if it is late or out of order. */
	readonly announce: (
		id: string,
		announcement: Announcement,
	) => 'accepted' | 'ignored';
	readonly withdraw: (id: string) => void;
	readonly logger: Logger;
};
