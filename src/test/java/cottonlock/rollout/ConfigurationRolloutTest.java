package cottonlock.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.lab.rollout.RolloutStudy;
import cottonlock.lab.rollout.RolloutStudy.Outcome;
import cottonlock.setup.RolloutConfig;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Simulates fleets in virtual time: each failure case of docs/rollout.md with all safeguards on,
 * and what goes wrong without the safeguard against it. A seed gives the same results on any
 * machine.
 */
class ConfigurationRolloutTest {
    private static final int FLEET_SIZE = 300;
    private static final long SEED = 7;

    /** Time within which a change must be in force. */
    private static final long MAX_ROLLOUT_MILLIS = 10_000;

    /** Maximum traffic of one proxy. */
    private static final long MAX_BYTES_PER_SECOND = 7 << 10;

    /** Maximum traffic of one proxy that receives a version twice, truncated and complete. */
    private static final long MAX_BYTES_PER_SECOND_SENT_TWICE = 10 << 10;

    private static Outcome simulate(String name, RolloutVariants variants) {
        return new RolloutStudy(FLEET_SIZE, SEED, variants).cases().get(name).get();
    }

    /** Asserts what holds in each case, and returns the outcome. */
    private static Outcome assertHandled(
            String name, RolloutVariants variants, long maxBytesPerSecond) {
        Outcome outcome = simulate(name, variants);
        assertTrue(outcome.all() >= 0 && outcome.all() <= MAX_ROLLOUT_MILLIS, name + " " + outcome);
        assertEquals(0, outcome.back() + outcome.harmed() + outcome.differ(), name + " " + outcome);
        assertTrue(outcome.bytes() <= maxBytesPerSecond, name + " " + outcome);
        return outcome;
    }

    private static boolean isLate(long millis) {
        return millis < 0 || millis > MAX_ROLLOUT_MILLIS;
    }

    @Example
    void changeWithoutFaultsIsInForceWithinASecond() {
        Outcome outcome = new RolloutStudy(FLEET_SIZE, SEED, RolloutVariants.DEFAULT).quiet();
        assertTrue(outcome.all() >= 0 && outcome.all() < 1_000, outcome.toString());
        assertTrue(
                outcome.bytes() <= MAX_BYTES_PER_SECOND && outcome.more().get("mean") < 500,
                outcome.toString());
        assertEquals(0, outcome.back() + outcome.harmed() + outcome.differ());
    }

    @Example
    void changeDuringARegionPartition() {
        Outcome outcome =
                assertHandled("region_split", RolloutVariants.DEFAULT, MAX_BYTES_PER_SECOND);
        assertFalse(isLate(outcome.more().get("healed_ms_all")), outcome.toString());
        RolloutVariants nearAndFar =
                new RolloutVariants() {
                    @Override
                    public boolean prefersNearServers() {
                        return false;
                    }
                };
        // Watches across the partition are lost, and half of the control servers are unreachable.
        assertHandled("region_split", nearAndFar, MAX_BYTES_PER_SECOND);
        assertTrue(
                isLate(
                        simulate(
                                        "region_split",
                                        new RolloutVariants() {
                                            @Override
                                            public boolean prefersNearServers() {
                                                return false;
                                            }

                                            @Override
                                            public boolean failsOver() {
                                                return false;
                                            }
                                        })
                                .all()),
                "without the safeguards, proxies that watch a server in the other region wait for"
                        + " the end of the partition");
    }

    @Example
    void concurrentChangesConvergeToOneVersion() {
        Outcome outcome = assertHandled("crossing", RolloutVariants.DEFAULT, MAX_BYTES_PER_SECOND);
        assertEquals(2, outcome.more().get("versions_while_split"));
        Outcome off =
                simulate(
                        "crossing",
                        new RolloutVariants() {
                            @Override
                            public boolean supersedes(
                                    ConfigurationVersion one, ConfigurationVersion other) {
                                return one.number() > other.number();
                            }
                        });
        assertTrue(
                isLate(off.all()) && off.differ() > 0,
                "without the safeguard, each region keeps its own version: " + off);
    }

    @Example
    void proxyStoppedForAnHourCatchesUp() {
        Outcome outcome = assertHandled("stopped", RolloutVariants.DEFAULT, MAX_BYTES_PER_SECOND);
        assertTrue(outcome.more().get("changes_missed") > 80);
        class NoSilenceTimeout extends RolloutVariants {
            @Override
            public long silenceTimeoutTicks(long defaultTicks) {
                return Long.MAX_VALUE / 4;
            }
        }
        // Either safeguard is enough: a comparison with another server detects the loss too.
        assertHandled("stopped", new NoSilenceTimeout(), MAX_BYTES_PER_SECOND);
        assertTrue(
                isLate(
                        simulate(
                                        "stopped",
                                        new NoSilenceTimeout() {
                                            @Override
                                            public boolean comparesServers() {
                                                return false;
                                            }
                                        })
                                .all()),
                "without both safeguards, it waits for lines on a dead connection");
    }

    @Example
    void changeWithAFlappingZone() {
        Outcome outcome =
                assertHandled("flapping_zone", RolloutVariants.DEFAULT, MAX_BYTES_PER_SECOND);
        assertFalse(isLate(outcome.more().get("inside_ms_all")), outcome.toString());
        assertFalse(isLate(outcome.more().get("after_ms_all")), outcome.toString());
        Outcome off =
                simulate(
                        "flapping_zone",
                        new RolloutVariants() {
                            @Override
                            public boolean failsOver() {
                                return false;
                            }
                        });
        assertTrue(
                isLate(off.all()) && isLate(off.more().get("inside_ms_all")),
                "without the safeguard, each waits for its own control server: " + off);
    }

    @Example
    void allControlServersDownForTenMinutes() {
        Outcome outcome =
                assertHandled("control_down", RolloutVariants.DEFAULT, MAX_BYTES_PER_SECOND);
        assertEquals(
                FLEET_SIZE, outcome.more().get("kept"), "each proxy keeps the last valid version");
        // Each proxy calls at most once in half the maximum retry delay, at a random time. The
        // limit
        // is three times the mean rate at a control server.
        assertTrue(
                outcome.calls() <= 3 * FLEET_SIZE / RolloutStudy.CONTROL / 2, outcome.toString());
        assertTrue(
                isLate(
                        simulate(
                                        "control_down",
                                        new RolloutVariants() {
                                            @Override
                                            public long maxBackoffTicks(
                                                    long retryTicks, int failures) {
                                                return retryTicks << Math.min(failures, 16);
                                            }
                                        })
                                .all()),
                "without the safeguard, delays double without a limit");
        Outcome noBackoff =
                simulate(
                        "control_down",
                        new RolloutVariants() {
                            @Override
                            public boolean backsOff() {
                                return false;
                            }
                        });
        assertTrue(
                noBackoff.more().get("calls_s_while_down")
                                > 3 * outcome.more().get("calls_s_while_down")
                        && noBackoff.bytes() > MAX_BYTES_PER_SECOND,
                "without the safeguard, calls follow one another without a delay: " + noBackoff);
    }

    @Example
    void staleControlServerIsAbandoned() {
        Outcome outcome = assertHandled("behind", RolloutVariants.DEFAULT, MAX_BYTES_PER_SECOND);
        assertTrue(
                outcome.more().get("next_ms_all") < 1_000,
                "the watches have moved to other servers: " + outcome);
        Outcome off =
                simulate(
                        "behind",
                        new RolloutVariants() {
                            @Override
                            public boolean comparesServers() {
                                return false;
                            }
                        });
        assertTrue(
                isLate(off.all()) && off.differ() > 0,
                "without the safeguard, its watchers never learn of the change: " + off);
    }

    private static final RolloutVariants NO_VALIDATION =
            new RolloutVariants() {
                @Override
                public boolean validates() {
                    return false;
                }
            };

    @Example
    void truncatedVersionIsNotApplied() {
        assertHandled("half", RolloutVariants.DEFAULT, MAX_BYTES_PER_SECOND_SENT_TWICE);
        assertNotEquals(
                0,
                simulate("half", NO_VALIDATION).harmed(),
                "without the safeguard, it comes into force");
    }

    @Example
    void invalidVersionIsRejectedOnceByEachProxyAndRolledBack() {
        Outcome outcome = assertHandled("poison", RolloutVariants.DEFAULT, MAX_BYTES_PER_SECOND);
        assertEquals(FLEET_SIZE, outcome.more().get("refused"));
        assertEquals(FLEET_SIZE, outcome.more().get("judged"), "each proxy validates it only once");
        assertEquals(FLEET_SIZE, outcome.more().get("kept"));
        assertEquals(
                FLEET_SIZE,
                simulate("poison", NO_VALIDATION).harmed(),
                "without the safeguard, it comes into force");
    }

    @Example
    void versionSurvivesRestartsWithoutControl() {
        assertHandled("restarts", RolloutVariants.DEFAULT, MAX_BYTES_PER_SECOND);
        assertNotEquals(
                0,
                simulate(
                                "restarts",
                                new RolloutVariants() {
                                    @Override
                                    public boolean persists() {
                                        return false;
                                    }
                                })
                        .back(),
                "without the safeguard, a restart returns to the settings of the file");
    }

    @Example
    void changeWhileControlIsOverloaded() {
        Outcome outcome = assertHandled("overload", RolloutVariants.DEFAULT, MAX_BYTES_PER_SECOND);
        // Each proxy calls at most once in 0.45 s, spread over the near servers; random variation
        // may
        // add half of that.
        double maxCallsPerSecond = 1.5 * FLEET_SIZE / 0.45 / RolloutStudy.CONTROL;
        assertTrue(outcome.calls() <= maxCallsPerSecond, outcome.toString());
        Outcome off =
                simulate(
                        "overload",
                        new RolloutVariants() {
                            @Override
                            public boolean backsOff() {
                                return false;
                            }
                        });
        assertTrue(
                off.calls() > maxCallsPerSecond && off.bytes() > MAX_BYTES_PER_SECOND,
                "without the safeguard, a rejected proxy calls again at once: " + off);
    }

    private static RolloutConfig config(int near, int far) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < near + far; i++) {
            names.add("127.0.0.1:" + (1 + i));
        }
        return new RolloutConfig(
                "s",
                names.subList(0, near),
                names.subList(near, near + far),
                RolloutConfig.DEFAULT_CALL_TIMEOUT_TICKS,
                RolloutConfig.DEFAULT_COMPARISON_INTERVAL_TICKS,
                RolloutConfig.DEFAULT_MAX_RETRY_DELAY_TICKS);
    }

    @Property(tries = 200)
    void versionsAreTotallyOrdered(@ForAll long a, @ForAll long b, @ForAll byte m, @ForAll byte n) {
        ConfigurationVersion one = new ConfigurationVersion(m, a);
        ConfigurationVersion other = new ConfigurationVersion(n, b);
        assertEquals(Integer.signum(one.compareTo(other)), -Integer.signum(other.compareTo(one)));
        assertEquals(one.equals(other), one.compareTo(other) == 0);
        assertEquals(16, one.digestHex().length());
        assertEquals(a, Long.parseUnsignedLong(one.digestHex(), 16));
    }

    /**
     * Whatever control servers announce and however calls fail, the version in force never
     * decreases and a rejected version is validated only once.
     */
    @Property(tries = 200)
    void versionsNeverDecreaseAndDelaysAreBounded(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RolloutConfig config = config(1 + random.nextInt(4), random.nextInt(4));
        int serverCount =
                config.nearControlAddresses().size() + config.farControlAddresses().size();
        ConfigurationRollout rollout =
                new ConfigurationRollout(0, config, ConfigurationVersion.NONE, random.split());
        long nowTicks = 0;
        ConfigurationVersion inForce = ConfigurationVersion.NONE;
        Set<ConfigurationVersion> validated = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            WatchAttempt attempt = rollout.nextWatch(nowTicks);
            assertTrue(
                    attempt.startAtTicks() >= nowTicks
                            && attempt.startAtTicks() <= nowTicks + config.maxRetryDelayTicks(),
                    "the delay is bounded");
            assertTrue(attempt.server() >= 0 && attempt.server() < serverCount);
            nowTicks = attempt.startAtTicks();
            for (int line = random.nextInt(5); line > 0; line--) {
                nowTicks += random.nextInt(30_000);
                ConfigurationVersion version =
                        new ConfigurationVersion(1 + random.nextInt(30), random.nextInt(3));
                if (rollout.versionAnnounced(nowTicks, version)) {
                    assertTrue(
                            version.compareTo(inForce) > 0 && validated.add(version),
                            version + " over " + inForce);
                    if (random.nextInt(3) == 0) {
                        rollout.rejected(version);
                    } else {
                        rollout.applied(version);
                        inForce = version;
                    }
                }
                assertEquals(inForce, rollout.status().inForce());
                assertTrue(rollout.requestedFrom().compareTo(inForce) >= 0);
                int other = rollout.nextComparison(nowTicks);
                if (other >= 0) {
                    assertNotEquals(attempt.server(), other);
                    rollout.comparisonAnswered(
                            nowTicks,
                            other,
                            new ConfigurationVersion(1 + random.nextInt(30), random.nextInt(3)));
                }
                if (rollout.shouldMigrate(nowTicks)) {
                    rollout.watchMigrated(nowTicks);
                    line = -1;
                    break;
                }
            }
            if (rollout.nextCheckAtTicks() != Long.MAX_VALUE) {
                nowTicks += random.nextInt(60_000);
            }
            rollout.watchFailed(nowTicks);
        }
    }

    /** All servers are unreachable: a round calls each once, in at most 0.65 s per call. */
    @Example
    void roundCallsEachServer() {
        ConfigurationRollout rollout =
                new ConfigurationRollout(
                        0, config(8, 9), ConfigurationVersion.NONE, new SplittableRandom(3));
        Set<Integer> called = new HashSet<>();
        long nowTicks = 0;
        for (int i = 0; i < 17; i++) {
            WatchAttempt attempt = rollout.nextWatch(nowTicks);
            assertTrue(called.add(attempt.server()), "each is called once");
            assertEquals(i < 8, attempt.server() < 8, "near servers are called first");
            nowTicks = attempt.startAtTicks() + attempt.timeoutTicks();
            rollout.watchFailed(nowTicks);
        }
        assertTrue(
                nowTicks <= 20_000 + 17 * 6_500,
                "0.65 s for each call after the first: " + nowTicks);
        long delayTicks = rollout.nextWatch(nowTicks).startAtTicks() - nowTicks;
        assertTrue(
                delayTicks >= RolloutConfig.DEFAULT_MAX_RETRY_DELAY_TICKS / 2
                        && delayTicks <= RolloutConfig.DEFAULT_MAX_RETRY_DELAY_TICKS,
                "a backoff precedes the next round: " + delayTicks);
    }
}
