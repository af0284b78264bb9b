import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound gang whose minion crashes four times, twelve seconds apart.
 *
 * The rule LOST is broken if a process shows the submission as `failed` although fewer than `max_attempts` runs have
 * ended `failed`.
 */
final class CrashingMinions {
    private static final int MINIONS = 8;
    private static final double LARGEST_SHARE = 0.14;
    private static final int CRASHES = 4;
    private static final int MEMBERS = 4;
    private static final long WORK_MS = 50_000;
    private static final long FIRST_CRASH_MS = 8_000;
    private static final long CRASH_PERIOD_MS = 12_000;
    private static final long DOWN_MS = 4_500;
    private static final long END_MS = 105_000;
    private static final String ID = "5c0e7a21d94b36f8";

    private final Record record;
    private final AtomicInteger failedEnds = new AtomicInteger();

    private CrashingMinions(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Record record = new Record(Path.of(args[0]))) {
            exit = new CrashingMinions(record).run(hasTrouble);
            record.add("exit " + exit);
        } catch (Exception failure) {
            failure.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private final class Subtasks implements Minion.Judge {
        @Override
        public long workMs(String task) {
            return WORK_MS;
        }

        @Override
        public boolean isCheckpointable(String task) {
            return true;
        }

        @Override
        public int gangSize(String task) {
            return MEMBERS;
        }

        @Override
        public void started(Minion minion, String task, long run, String checkpoint) {
            record.add("minion " + minion.id + ": " + task + " run " + run + " starts"
                + (checkpoint.isEmpty() ? "" : " from checkpoint " + checkpoint));
        }

        @Override
        public void ended(Minion minion, String task, long run, String how) {
            if (how.equals("failed")) failedEnds.incrementAndGet();
            record.add("minion " + minion.id + ": " + task + " run " + run + " ends " + how);
        }
    }

    private int run(boolean hasTrouble) throws Exception {
        Cluster.Route route = new Cluster.Route("exposure-render", 1, 2, 2.2, 1000);
        try (Cluster cluster = new Cluster(record, 3, List.of(route))) {
            Minion.Judge judge = new Subtasks();
            Minion[] minions = new Minion[MINIONS];
            for (int i = 0; i < MINIONS; i++) minions[i] = minion("i-" + i + "-1", Http.freePort(), i, cluster, judge);
            Cluster.sleep(1_500);
            cluster.submit(route, ID, "{\"spec\":\"render\",\"phases\":[{\"replicas\":" + MEMBERS
                + ",\"cpu\":3500,\"mem_mb\":4000,\"estimate_ms\":" + WORK_MS + ",\"gang\":true,\"checkpointable\":true}]}");
            return watch(cluster, route, minions, judge, hasTrouble);
        }
    }

    private int watch(Cluster cluster, Cluster.Route route, Minion[] minions, Minion.Judge judge, boolean hasTrouble) {
        long startedAtNs = System.nanoTime();
        int crashes = 0;
        String shown = "";
        while (true) {
            long nowMs = (System.nanoTime() - startedAtNs) / 1_000_000;
            if (shown.equals("completed")) return 0;
            if (nowMs > END_MS) return shown.equals("running") ? 0 : 2;
            if (hasTrouble && crashes < CRASHES && nowMs >= FIRST_CRASH_MS + crashes * CRASH_PERIOD_MS) {
                crash(minions, ++crashes, cluster, judge);
            }
            String state = cluster.stateOf(crashes % 3, route, ID);
            if (!state.equals(shown)) record.add("client: GET " + route.prefix() + ID + " -> " + state);
            shown = state;
            if (state.equals("failed")) {
                record.add("after " + crashes + " crashes, " + failedEnds.get() + " runs have ended `failed`; max_attempts is "
                    + route.maxAttempts() + ": LOST is broken");
                return failedEnds.get() < route.maxAttempts() ? 1 : 2;
            }
            Cluster.sleep(200);
        }
    }

    /** Crashes the minions of the gang, unless they are more than the largest share. */
    private void crash(Minion[] minions, int number, Cluster cluster, Minion.Judge judge) {
        List<Integer> victims = new ArrayList<>();
        for (int i = 0; i < MINIONS; i++) if (minions[i].isRunning(ID)) victims.add(i);
        if (victims.isEmpty() || victims.size() > LARGEST_SHARE * MINIONS) {
            throw new IllegalStateException("the gang is on " + victims.size() + " minions");
        }
        for (int victim : victims) {
            Minion former = minions[victim];
            record.add("minion " + former.id + " crashes with " + former.runningCount() + " runs");
            former.crash();
            Http.THREADS.submit(() -> {
                Cluster.sleep(DOWN_MS);
                minions[victim] = minion("i-" + victim + "-" + (number + 1), former.port, victim, cluster, judge);
                record.add("minion " + minions[victim].id + " is up at the address of " + former.id);
                cluster.store.put("servers", former.id, null);
                return null;
            });
        }
    }

    private static Minion minion(String id, int port, int number, Cluster cluster, Minion.Judge judge) throws Exception {
        return new Minion(id, port, List.of("a", "r1-" + number % 2), 16_000, 32_768, cluster.store, judge, 0);
    }
}
