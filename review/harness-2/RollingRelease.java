import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Beside one submission with many checkpointable subtasks, six of eight minions are replaced in two releases; small
 * submissions follow.
 *
 * The rule LOST is broken if, `finish_s` after the last submission was handed in and later, small submissions have had
 * nothing running for 3 s although under half of the room on the minions is in use.
 */
final class RollingRelease {
    private static final int MINIONS = 8;
    private static final long MINION_CPU = 16_000;
    private static final int LARGE_SUBTASKS = 3_600;
    private static final int LARGE_CPU = 30;
    private static final long LARGE_WORK_MS = 200_000;
    private static final long SHORT_WORK_MS = 8_000;
    /** Every so many subtasks one is short. */
    private static final int SHORT_EVERY = 100;
    private static final long[] RELEASE_AT_MS = {14_000, 24_000};
    private static final int REPLACED = 3;
    private static final long GAP_MS = 1_000;
    private static final long SERVES_MS = 3_000;
    private static final long SUBMIT_SMALL_AT_MS = 34_000;
    private static final int SMALL = 10;
    private static final int SMALL_CPU = 1_000;
    private static final long SMALL_WORK_MS = 1_000;
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;
    private static final long END_MS = 65_000;
    private static final String LARGE_ID = "5c0e7a21d94b36f8";

    private final Record record;

    /** What runs, with its processor share in thousandths and its minion. */
    private final Map<String, Minion> running = new ConcurrentHashMap<>();
    private final Set<String> begun = ConcurrentHashMap.newKeySet();

    private RollingRelease(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Record record = new Record(Path.of(args[0]))) {
            exit = new RollingRelease(record).run(hasTrouble);
            record.add("exit " + exit);
        } catch (Exception failure) {
            failure.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private static boolean isSmall(String task) {
        return task.startsWith("b");
    }

    private final class Subtasks implements Minion.Judge {
        @Override
        public long workMs(String task) {
            if (isSmall(task)) return SMALL_WORK_MS;
            int index = Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
            return index % SHORT_EVERY == 0 ? SHORT_WORK_MS : LARGE_WORK_MS;
        }

        @Override
        public boolean isCheckpointable(String task) {
            return !isSmall(task);
        }

        @Override
        public void started(Minion minion, String task, long run, String checkpoint) {
            running.put(task, minion);
            if (begun.add(task) && begun.size() % 600 == 0) record.add(begun.size() + " subtasks have begun");
            if (isSmall(task)) record.add("minion " + minion.id + ": " + task + " run " + run + " starts");
        }

        @Override
        public void ended(Minion minion, String task, long run, String how) {
            running.remove(task, minion);
            if (isSmall(task)) record.add("minion " + minion.id + ": " + task + " run " + run + " ends " + how);
        }
    }

    private int run(boolean hasTrouble) throws Exception {
        Cluster.Route renders = new Cluster.Route("exposure-render", 1, 2, 2.2, 1000);
        Cluster.Route checks = new Cluster.Route("stock-check", 0, 3, 1.5, 250);
        try (Cluster cluster = new Cluster(record, 3, List.of(renders, checks))) {
            Minion.Judge judge = new Subtasks();
            Minion[] minions = new Minion[MINIONS];
            for (int i = 0; i < MINIONS; i++) minions[i] = minion("i-" + i, cluster, judge);
            Cluster.sleep(1_500);
            long startedAtNs = System.nanoTime();
            if (hasTrouble) {
                cluster.submit(renders, LARGE_ID, body(LARGE_SUBTASKS, LARGE_CPU, LARGE_WORK_MS, true));
            } else {
                // The same load in small submissions.
                for (int i = 0; i < LARGE_SUBTASKS / 100; i++) {
                    cluster.submit(renders, String.format("5c0e7a21d94b%04x", i), body(100, LARGE_CPU, LARGE_WORK_MS, true));
                }
            }
            for (int release = 0; release < RELEASE_AT_MS.length; release++) {
                sleepUntil(startedAtNs, RELEASE_AT_MS[release]);
                for (int i = release * REPLACED; i < (release + 1) * REPLACED; i++) {
                    replace(minions[i], cluster, judge);
                    Cluster.sleep(GAP_MS);
                }
            }
            sleepUntil(startedAtNs, SUBMIT_SMALL_AT_MS);
            for (int i = 0; i < SMALL; i++) cluster.submit(checks, idOf(i), body(1, SMALL_CPU, SMALL_WORK_MS, false));
            return watch(cluster, checks, startedAtNs);
        }
    }

    /** The new minion starts first, and the old one drains. */
    private void replace(Minion old, Cluster cluster, Minion.Judge judge) throws Exception {
        Minion successor = minion(old.id + "-new", cluster, judge);
        record.add("minion " + successor.id + " is up, and minion " + old.id + " drains with " + old.runningCount() + " runs");
        Http.THREADS.submit(() -> {
            old.drain(SERVES_MS);
            running.values().removeIf(minion -> minion == old);
            record.add("minion " + old.id + " has left");
        });
    }

    private static Minion minion(String id, Cluster cluster, Minion.Judge judge) throws Exception {
        return new Minion(id, Http.freePort(), List.of("a", "r1-0"), MINION_CPU, 32_768, cluster.store, judge, 0);
    }

    private static String idOf(int number) {
        return String.format("b40e7a21d94b%04x", number);
    }

    private static String body(int replicas, int cpu, long estimateMs, boolean isCheckpointable) {
        return "{\"spec\":\"work\",\"phases\":[{\"replicas\":" + replicas + ",\"cpu\":" + cpu + ",\"mem_mb\":20,\"estimate_ms\":"
            + estimateMs + (isCheckpointable ? ",\"checkpointable\":true" : "") + "}]}";
    }

    private static void sleepUntil(long startedAtNs, long atMs) {
        Cluster.sleep(Math.max(0, atMs - (System.nanoTime() - startedAtNs) / 1_000_000));
    }

    private int watch(Cluster cluster, Cluster.Route checks, long startedAtNs) {
        int lost = 0;
        while ((System.nanoTime() - startedAtNs) / 1_000_000 < END_MS) {
            Cluster.sleep(1_000);
            if ((System.nanoTime() - startedAtNs) / 1_000_000 < SUBMIT_SMALL_AT_MS + FINISH_MS + IDLE_MS) continue;
            long usedCpu = running.keySet().stream().mapToLong(task -> isSmall(task) ? SMALL_CPU : LARGE_CPU).sum();
            int idle = 0;
            for (int i = 0; i < SMALL; i++) if (!begun.contains(idOf(i) + ".0.0.0")) idle++;
            record.add(idle + " small submissions have never begun; " + usedCpu + " of " + MINIONS * MINION_CPU
                + " thousandths of a core are in use");
            if (2 * usedCpu < MINIONS * MINION_CPU) lost = Math.max(lost, idle);
        }
        for (int i = 0; i < SMALL; i++) {
            record.add("client: GET " + checks.prefix() + idOf(i) + " -> " + cluster.stateOf(i % 3, checks, idOf(i)));
        }
        record.add(lost + " of " + SMALL + " small submissions have had nothing running, " + FINISH_MS + " ms after the last one"
            + " and later" + (lost > 0 ? ": LOST is broken" : ""));
        return begun.size() < LARGE_SUBTASKS ? 2 : lost > 0 ? 1 : 0;
    }
}
