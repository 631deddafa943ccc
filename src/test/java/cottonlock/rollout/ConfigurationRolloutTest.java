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
 * Fleets of the deciding class in virtual time: each hard case of docs/rollout.md, and what fails
 * where its defence is switched off. One seed gives the same play on any machine.
 */
class ConfigurationRolloutTest {
    private static final int SIZE = 300;
    private static final long SEED = 7;

    /**
     * Milliseconds in which a change is to be in force; bytes that a proxy may spend in a second.
     */
    private static final long IN_FORCE = 10_000;

    private static final long BYTES = 7 << 10;

    /** Bytes of a second in which a proxy was told one version twice, half and whole. */
    private static final long TWICE = 10 << 10;

    private static Outcome play(String name, RolloutVariants habits) {
        return new RolloutStudy(SIZE, SEED, habits).cases().get(name).get();
    }

    /** What holds in each case. */
    private static Outcome holds(String name, RolloutVariants habits, long bytes) {
        Outcome o = play(name, habits);
        assertTrue(o.all() >= 0 && o.all() <= IN_FORCE, name + " " + o);
        assertEquals(0, o.back() + o.harmed() + o.differ(), name + " " + o);
        assertTrue(o.bytes() <= bytes, name + " " + o);
        return o;
    }

    private static boolean late(long millis) {
        return millis < 0 || millis > IN_FORCE;
    }

    @Example
    void onQuietDaysAChangeIsInForceAtOnce() {
        Outcome o = new RolloutStudy(SIZE, SEED, RolloutVariants.DEFAULT).quiet();
        assertTrue(o.all() >= 0 && o.all() < 1_000, o.toString());
        assertTrue(o.bytes() <= BYTES && o.more().get("mean") < 500, o.toString());
        assertEquals(0, o.back() + o.harmed() + o.differ());
    }

    @Example
    void aChangeDuringARegionSplit() {
        Outcome o = holds("region_split", RolloutVariants.DEFAULT, BYTES);
        assertFalse(late(o.more().get("healed_ms_all")), o.toString());
        RolloutVariants farToo =
                new RolloutVariants() {
                    @Override
                    public boolean prefersNearServers() {
                        return false;
                    }
                };
        // Watches that stand across the cut are lost, and half of all machines can't be reached.
        holds("region_split", farToo, BYTES);
        assertTrue(
                late(
                        play(
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
                "off: those that watch beyond the cut wait for the heal");
    }

    @Example
    void twoChangesThatCrossEndAsOne() {
        Outcome o = holds("crossing", RolloutVariants.DEFAULT, BYTES);
        assertEquals(2, o.more().get("versions_while_split"));
        Outcome off =
                play(
                        "crossing",
                        new RolloutVariants() {
                            @Override
                            public boolean supersedes(
                                    ConfigurationVersion one, ConfigurationVersion other) {
                                return one.number() > other.number();
                            }
                        });
        assertTrue(late(off.all()) && off.differ() > 0, "off: each side keeps its own: " + off);
    }

    @Example
    void aProxyStoppedForAnHour() {
        Outcome o = holds("stopped", RolloutVariants.DEFAULT, BYTES);
        assertTrue(o.more().get("changes_missed") > 80);
        class Endless extends RolloutVariants {
            @Override
            public long silenceTimeoutTicks(long defaultTicks) {
                return Long.MAX_VALUE / 4;
            }
        }
        // Two defences, each of which is enough: a comparison finds it too.
        holds("stopped", new Endless(), BYTES);
        assertTrue(
                late(
                        play(
                                        "stopped",
                                        new Endless() {
                                            @Override
                                            public boolean comparesServers() {
                                                return false;
                                            }
                                        })
                                .all()),
                "off: it waits for lines of a connection that is none any more");
    }

    @Example
    void aFlappingZone() {
        Outcome o = holds("flapping_zone", RolloutVariants.DEFAULT, BYTES);
        assertFalse(late(o.more().get("inside_ms_all")), o.toString());
        assertFalse(late(o.more().get("after_ms_all")), o.toString());
        Outcome off =
                play(
                        "flapping_zone",
                        new RolloutVariants() {
                            @Override
                            public boolean failsOver() {
                                return false;
                            }
                        });
        assertTrue(
                late(off.all()) && late(off.more().get("inside_ms_all")),
                "off: each waits for its own " + "machine: " + off);
    }

    @Example
    void allOfControlDownForTenMinutesAndBackAtOnce() {
        Outcome o = holds("control_down", RolloutVariants.DEFAULT, BYTES);
        assertEquals(SIZE, o.more().get("kept"), "the last good version is kept by all");
        // One call in retry / 2 at most, drawn by chance over as long: three times the mean at a
        // machine.
        assertTrue(o.calls() <= 3 * SIZE / RolloutStudy.CONTROL / 2, o.toString());
        assertTrue(
                late(
                        play(
                                        "control_down",
                                        new RolloutVariants() {
                                            @Override
                                            public long maxBackoffTicks(
                                                    long retryTicks, int failures) {
                                                return retryTicks << Math.min(failures, 16);
                                            }
                                        })
                                .all()),
                "off: waits that double without bound");
        Outcome unpaced =
                play(
                        "control_down",
                        new RolloutVariants() {
                            @Override
                            public boolean backsOff() {
                                return false;
                            }
                        });
        assertTrue(
                unpaced.more().get("calls_s_while_down") > 3 * o.more().get("calls_s_while_down")
                        && unpaced.bytes() > BYTES,
                "off: no wait: " + unpaced);
    }

    @Example
    void oneControlMachineThatLiesBehind() {
        Outcome o = holds("behind", RolloutVariants.DEFAULT, BYTES);
        assertTrue(o.more().get("next_ms_all") < 1_000, "it has been left for others: " + o);
        Outcome off =
                play(
                        "behind",
                        new RolloutVariants() {
                            @Override
                            public boolean comparesServers() {
                                return false;
                            }
                        });
        assertTrue(late(off.all()) && off.differ() > 0, "off: who watches it never knows: " + off);
    }

    private static final RolloutVariants NOTHING_TRIED =
            new RolloutVariants() {
                @Override
                public boolean validates() {
                    return false;
                }
            };

    @Example
    void halfAVersionIsNone() {
        holds("half", RolloutVariants.DEFAULT, TWICE);
        assertNotEquals(0, play("half", NOTHING_TRIED).harmed(), "off: it comes into force");
    }

    @Example
    void aPoisonVersionIsRefusedByAllOnceAndRolledBack() {
        Outcome o = holds("poison", RolloutVariants.DEFAULT, BYTES);
        assertEquals(SIZE, o.more().get("refused"));
        assertEquals(SIZE, o.more().get("judged"), "and not judged again");
        assertEquals(SIZE, o.more().get("kept"));
        assertEquals(SIZE, play("poison", NOTHING_TRIED).harmed(), "off: it comes into force");
    }

    @Example
    void manyRestartsWithinAMinuteWhileControlIsLost() {
        holds("restarts", RolloutVariants.DEFAULT, BYTES);
        assertNotEquals(
                0,
                play(
                                "restarts",
                                new RolloutVariants() {
                                    @Override
                                    public boolean persists() {
                                        return false;
                                    }
                                })
                        .back(),
                "off: a restart goes back to the file");
    }

    @Example
    void aChangeWhileControlIsOverloaded() {
        Outcome o = holds("overload", RolloutVariants.DEFAULT, BYTES);
        // A call each 0.45 s at most by each proxy, spread over near machines; half as much again
        // by chance.
        double most = 1.5 * SIZE / 0.45 / RolloutStudy.CONTROL;
        assertTrue(o.calls() <= most, o.toString());
        Outcome off =
                play(
                        "overload",
                        new RolloutVariants() {
                            @Override
                            public boolean backsOff() {
                                return false;
                            }
                        });
        assertTrue(
                off.calls() > most && off.bytes() > BYTES,
                "off: who is turned away calls at once: " + off);
    }

    private static RolloutConfig plan(int near, int far) {
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
    void versionsHaveOneOrder(@ForAll long a, @ForAll long b, @ForAll byte m, @ForAll byte n) {
        ConfigurationVersion one = new ConfigurationVersion(m, a);
        ConfigurationVersion other = new ConfigurationVersion(n, b);
        assertEquals(Integer.signum(one.compareTo(other)), -Integer.signum(other.compareTo(one)));
        assertEquals(one.equals(other), one.compareTo(other) == 0);
        assertEquals(16, one.digestHex().length());
        assertEquals(a, Long.parseUnsignedLong(one.digestHex(), 16));
    }

    /**
     * Whatever machines tell and however calls fail: versions go up only, a refused one is judged
     * once.
     */
    @Property(tries = 200)
    void versionsNeverGoBackAndWaitsAreBounded(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        RolloutConfig plan = plan(1 + chance.nextInt(4), chance.nextInt(4));
        int machines = plan.nearControlAddresses().size() + plan.farControlAddresses().size();
        ConfigurationRollout r =
                new ConfigurationRollout(0, plan, ConfigurationVersion.NONE, chance.split());
        long now = 0;
        ConfigurationVersion held = ConfigurationVersion.NONE;
        Set<ConfigurationVersion> judged = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            WatchAttempt call = r.nextWatch(now);
            assertTrue(
                    call.startAtTicks() >= now
                            && call.startAtTicks() <= now + plan.maxRetryDelayTicks(),
                    "a bounded wait");
            assertTrue(call.server() >= 0 && call.server() < machines);
            now = call.startAtTicks();
            for (int line = chance.nextInt(5); line > 0; line--) {
                now += chance.nextInt(30_000);
                ConfigurationVersion v =
                        new ConfigurationVersion(1 + chance.nextInt(30), chance.nextInt(3));
                if (r.versionAnnounced(now, v)) {
                    assertTrue(v.compareTo(held) > 0 && judged.add(v), v + " over " + held);
                    if (chance.nextInt(3) == 0) {
                        r.rejected(v);
                    } else {
                        r.applied(v);
                        held = v;
                    }
                }
                assertEquals(held, r.status().inForce());
                assertTrue(r.requestedFrom().compareTo(held) >= 0);
                int other = r.nextComparison(now);
                if (other >= 0) {
                    assertNotEquals(call.server(), other);
                    r.comparisonAnswered(
                            now,
                            other,
                            new ConfigurationVersion(1 + chance.nextInt(30), chance.nextInt(3)));
                }
                if (r.shouldMigrate(now)) {
                    r.watchMigrated(now);
                    line = -1;
                    break;
                }
            }
            if (r.nextCheckAtTicks() != Long.MAX_VALUE) {
                now += chance.nextInt(60_000);
            }
            r.watchFailed(now);
        }
    }

    /** All but the last of 17 can't be reached: a round calls each, within the worked-out time. */
    @Example
    void aRoundReachesEachMachine() {
        ConfigurationRollout r =
                new ConfigurationRollout(
                        0, plan(8, 9), ConfigurationVersion.NONE, new SplittableRandom(3));
        Set<Integer> called = new HashSet<>();
        long now = 0;
        for (int i = 0; i < 17; i++) {
            WatchAttempt call = r.nextWatch(now);
            assertTrue(called.add(call.server()), "each once");
            assertEquals(i < 8, call.server() < 8, "near ones first");
            now = call.startAtTicks() + call.timeoutTicks();
            r.watchFailed(now);
        }
        assertTrue(now <= 20_000 + 17 * 6_500, "0.65 s each behind the first: " + now);
        long waited = r.nextWatch(now).startAtTicks() - now;
        assertTrue(
                waited >= RolloutConfig.DEFAULT_MAX_RETRY_DELAY_TICKS / 2
                        && waited <= RolloutConfig.DEFAULT_MAX_RETRY_DELAY_TICKS,
                "then one by one: " + waited);
    }
}
