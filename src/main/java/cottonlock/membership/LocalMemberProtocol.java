package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.Locale;

/**
 * Handles what others report about this process. It refutes accusations by a higher incarnation,
 * takes a higher generation than earlier processes of its name, and stays passive as long as a
 * later process of its name runs. Confined to the thread of its {@link Membership}.
 */
@Deterministic
final class LocalMemberProtocol {
    /** How often a joining process raises its generation above a later one's before it yields. */
    private static final int MAX_GENERATION_RAISES = 4;

    /** Periods of silence after which a later process of this name counts as gone. */
    private static final int DISPLACER_TIMEOUT_PERIODS = 20;

    private final MembershipProtocolConfig config;
    private final ProtocolVariants variants;
    private final MembershipContext context;
    private final MemberTable table;
    private final MembershipActions actions;
    private final MembershipMetrics metrics;
    private final SelfAnnouncer announcer;
    private final JoinProtocol joinProtocol;
    private final FailureDetector failureDetector;
    private final WorkerProgress workerProgress;

    /** The later process of this name; null if there is none. */
    private MemberUpdate displacer;

    /** When the later process was last heard directly. */
    private long displacerHeardAtTicks;

    /** The highest accusation of this process that is not refuted yet; null if there is none. */
    private MemberUpdate accusation;

    private int generationRaises;

    LocalMemberProtocol(
            MembershipContext context,
            SelfAnnouncer announcer,
            JoinProtocol joinProtocol,
            FailureDetector failureDetector,
            WorkerProgress workerProgress) {
        this.context = context;
        this.config = context.config();
        this.variants = context.variants();
        this.table = context.table();
        this.actions = context.actions();
        this.metrics = context.metrics();
        this.announcer = announcer;
        this.joinProtocol = joinProtocol;
        this.failureDetector = failureDetector;
        this.workerProgress = workerProgress;
    }

    /** Called when the process has started. */
    void start() {
        displacer = null;
        generationRaises = 0;
    }

    /** Whether a later process of this name runs; while it does, this one is passive. */
    boolean isDisplaced() {
        return displacer != null;
    }

    /** The later process of this name; null if there is none. */
    MemberUpdate displacer() {
        return displacer;
    }

    /** Handles the sender's claim in a datagram of another process of this name. */
    void sameNameDatagramReceived(long nowTicks, MemberUpdate sender) {
        reportReceived(nowTicks, sender, sender.name());
        if (displacer != null && sender.address().equals(displacer.address())) {
            displacerHeardAtTicks = nowTicks;
        }
    }

    /**
     * Whether the later process of this name has been silent for so long that it counts as gone.
     */
    boolean isDisplacerGone(long nowTicks) {
        return nowTicks - displacerHeardAtTicks > DISPLACER_TIMEOUT_PERIODS * config.periodTicks();
    }

    /** Handles an update about this process's name that a member has reported. */
    void reportReceived(long nowTicks, MemberUpdate report, String reporter) {
        MemberUpdate self = table.self();
        int order = report.compareGenerations(self);
        boolean isUnknownAddress =
                !report.address().equals(self.address()) && !context.mayBeMember(report.address());
        if (order < 0 || self.state() == MemberState.LEFT || isUnknownAddress) {
            return;
        }
        if (order > 0) {
            laterProcessReported(nowTicks, report, reporter);
        } else if (displacer == null) {
            thisProcessReported(nowTicks, report, reporter);
        }
    }

    private void laterProcessReported(long nowTicks, MemberUpdate report, String reporter) {
        MemberUpdate self = table.self();
        boolean mayRaiseGeneration =
                self.state() == MemberState.JOINING
                        && displacer == null
                        && generationRaises < MAX_GENERATION_RAISES;
        // The other process has ended, or it may be an earlier process of this proxy whose clock
        // was ahead.
        if (!report.state().isLive()
                || report.address().equals(self.address())
                || mayRaiseGeneration) {
            generationRaises += mayRaiseGeneration ? 1 : 0;
            startGenerationAfter(nowTicks, report);
            return;
        }
        if (displacer == null) {
            actions.memberStateChanged(
                    self.name(),
                    MemberState.LEFT,
                    "displaced: another process at "
                            + report.address()
                            + " goes by this name and has started later, told by "
                            + reporter);
            displacerHeardAtTicks = nowTicks;
        }
        displacer = report;
    }

    private void thisProcessReported(long nowTicks, MemberUpdate report, String reporter) {
        MemberUpdate self = table.self();
        if (report.state() == MemberState.LEFT) {
            announcer.announce(
                    nowTicks,
                    self.ownClaim(variants.nextGeneration(report.generation()), 0, self.state()));
        } else if (report.incarnation() > self.incarnation()
                || (report.incarnation() == self.incarnation() && report.state().isAccusation())) {
            accusation = accusation == null || report.supersedes(accusation) ? report : accusation;
            refute(nowTicks, reporter);
        }
    }

    /** Called when the later process of this name is gone: this one becomes active again. */
    void resume(long nowTicks) {
        startGenerationAfter(nowTicks, displacer);
    }

    private void startGenerationAfter(long nowTicks, MemberUpdate earlier) {
        MemberUpdate self = table.self();
        announcer.announce(
                nowTicks,
                self.ownClaim(
                        variants.nextGeneration(earlier.generation()), 0, MemberState.JOINING));
        joinProtocol.restart(nowTicks);
        if (displacer != null) {
            displacer = null;
            failureDetector.start(nowTicks);
            actions.memberStateChanged(
                    self.name(), MemberState.JOINING, "the other process of this name is gone");
        }
    }

    /**
     * Refutes a pending accusation, unless the worker is stalled, which justifies the accusation.
     */
    void refute(long nowTicks, String reporter) {
        if (accusation == null || workerProgress.isStalled(nowTicks)) {
            return;
        }
        MemberUpdate self = table.self();
        metrics.increment(MembershipMetric.REFUTATIONS);
        actions.memberStateChanged(
                self.name(),
                self.state(),
                "contradicts that it is "
                        + accusation.state().name().toLowerCase(Locale.ROOT)
                        + ", told by "
                        + reporter);
        if (accusation.compareGenerations(self) == 0
                && accusation.incarnation() >= self.incarnation()) {
            announcer.announce(
                    nowTicks,
                    self.ownClaim(
                            self.generation(),
                            variants.nextIncarnation(accusation.incarnation()),
                            self.state()));
        }
        accusation = null;
        failureDetector.localHealth().degrade(1);
    }

    /** The state that determines future behavior as text, for tests that compare states. */
    String fingerprint() {
        return String.valueOf(displacer) + accusation + generationRaises;
    }
}
