package io.fuchsiastand.daemon.board;

import java.util.Optional;
import java.util.SplittableRandom;

import io.fuchsiastand.config.Service;
import io.fuchsiastand.key.KeyTable;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.routing.ServiceDirectory;
import io.fuchsiastand.time.Clock;
import io.fuchsiastand.time.Moment;

/**
 * The state that the controllers of a daemon share. These classes write it:
 *
 * <ul>
 *   <li>lifecycle: Daemon
 *   <li>configuration: ConfigurationController
 *   <li>keys: KeyController
 *   <li>members: GossipController
 *   <li>time of the last contact: GossipController for peers, PlatformController or ConfigurationWatch for the platform
 *   <li>times of the last answered probe and the last exchange of records: GossipController
 *   <li>records: GossipController for records from peers; PlatformController, ShardTableWriter, ShardTakeover and
 *       TokenIssuersController for objects of the platform; ConfigurationWatch for the configuration of an external
 *       source; BackendController and DeparturesController for the records of this host; AdminService for withdrawals of keys. The record store
 *       keeps the higher version of a record. DirectoryController and ConfigurationController remove records.
 *   <li>directory: DirectoryController, and ConfigurationController when the configuration changes
 * </ul>
 *
 * Threads that handle requests of callers only read, except that they record the calls in flight and the results of
 * calls in the candidates of the directory.
 */
public final class Blackboard {

    private final Section<Lifecycle> lifecycle = new Section<>(Lifecycle.STARTING);
    private final Section<ActiveConfiguration> configuration = new Section<>(ActiveConfiguration.NONE);
    private final Section<LastContact> lastContact;
    private final Section<Optional<Moment>> lastAnsweredProbe = new Section<>(Optional.empty());
    private final Section<Optional<Moment>> lastExchange = new Section<>(Optional.empty());
    private final KeyTable keys = new KeyTable();
    private final RecordStore records = new RecordStore();
    private final Membership members;
    private final ServiceDirectory directory;
    private final Clock clock;
    private final Settings settings;
    private final long startMillis;

    /**
     * Creates the blackboard of a daemon.
     *
     * @param settings the settings
     * @param ports the ports that the daemon listens on
     * @param clock the clock
     */
    public Blackboard(Settings settings, Settings.Ports ports, Clock clock) {
        this.settings = settings;
        this.clock = clock;
        startMillis = clock.now().toEpochMilli();
        lastContact = new Section<>(new LastContact(clock.nanoTime(), clock.nanoTime(), true));
        Member self = new Member(
                settings.host(),
                settings.address(),
                ports.data(),
                ports.peer(),
                settings.dataCentre(),
                startMillis,
                MemberState.ALIVE,
                clock.nanoTime());
        members = new Membership(self, clock, new SplittableRandom(startMillis));
        directory = new ServiceDirectory(
                settings.dataCentre(),
                clock,
                members::find,
                this::service,
                settings.scheduling().spill());
    }

    /**
     * Returns the lifecycle of this daemon.
     *
     * @return the section
     */
    public Section<Lifecycle> lifecycle() {
        return lifecycle;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the section
     */
    public Section<ActiveConfiguration> configuration() {
        return configuration;
    }

    /**
     * Returns the times of the last contact with the platform and with peers.
     *
     * @return the section
     */
    public Section<LastContact> lastContact() {
        return lastContact;
    }

    /**
     * Returns when this daemon sent the latest probe that a peer has answered. Unlike a message that arrives, an answer proves
     * that this daemon was in contact at some time after that.
     *
     * @return the section, empty before the first answer
     */
    public Section<Optional<Moment>> lastAnsweredProbe() {
        return lastAnsweredProbe;
    }

    /**
     * Returns when this daemon started the latest anti-entropy exchange after which it had all records of a peer.
     *
     * @return the section, empty before the first exchange
     */
    public Section<Optional<Moment>> lastExchange() {
        return lastExchange;
    }

    /**
     * Returns the team keys.
     *
     * @return the key table
     */
    public KeyTable keys() {
        return keys;
    }

    /**
     * Returns the replicated records.
     *
     * @return the record store
     */
    public RecordStore records() {
        return records;
    }

    /**
     * Returns the daemons of the fleet.
     *
     * @return the membership
     */
    public Membership members() {
        return members;
    }

    /**
     * Returns the backend servers of the fleet.
     *
     * @return the directory
     */
    public ServiceDirectory directory() {
        return directory;
    }

    /**
     * Returns the clock.
     *
     * @return the clock
     */
    public Clock clock() {
        return clock;
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     */
    public Settings settings() {
        return settings;
    }

    /**
     * Returns the time at which this process started.
     *
     * @return milliseconds since 1970-01-01 UTC
     */
    public long startMillis() {
        return startMillis;
    }

    /**
     * Stores a record if it is newer than the stored one, and queues it as a gossip update.
     *
     * @param name the name of the record
     * @param version the version of the record
     * @param value the content of the record
     */
    public void putRecord(String name, long version, byte[] value) {
        records.put(RecordStore.record(name, version, value));
    }

    /**
     * Returns the number of reachable members, this daemon included.
     *
     * @return the number, at least 1
     */
    public int fleetSize() {
        return Math.max(1, members.reachableCount());
    }

    private Optional<Service> service(String name) {
        return Optional.ofNullable(
                configuration.get().configuration().services().get(name));
    }
}
