import type {Configuration} from '../../../protocol/configuration.js';
import type {Announcement, MembersView} from '../../../protocol/member.js';
import type {Logger} from '../../create-logger.js';
import type {PlatformClient} from '../../platform-client.js';
import type {CommitTask} from '../../start-commit-task.js';

/** Options of `startAdministrationTask`: what its handlers read and tell. */
export type AdministrationTaskOptions = {
	/** Where to listen, as `IP:PORT`. */
	readonly address: string;
	readonly commit: CommitTask;
	readonly platform: PlatformClient;
	/** Reads the configuration that the node runs. */
	readonly readConfiguration: () => Configuration;
	/** Reads the newest configuration that the node holds. */
	readonly readNewestConfiguration: () => Configuration;
	readonly readView: () => MembersView;
	/** Reads the bytes of control traffic so far, both ways. */
	readonly readControlBytes: () => number;
	/** Returns `ignored` for an announcement that is late or out of order. */
	readonly announce: (
		id: string,
		announcement: Announcement,
	) => 'accepted' | 'ignored';
	readonly withdraw: (id: string) => void;
	readonly logger: Logger;
};
