import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Submissions that need one kind of minion, while single minions crash and start again under their id as another kind.
 *
 * The rule ROUTE is broken if a subtask starts on a minion without the label in `constraints`.
 */
final class RebornKind {
    private static final int MINIONS = 8;
    private static final long WORK_MS = 1_500;
    private static final long SUBMIT_PERIOD_MS = 150;
    private static final long FIRST_CRASH_MS = 6_000;
    private static final long CRASH_PERIOD_MS = 6_000;
    private static final long DOWN_MS = 1_000;
    /** Time after its start at which a minion's entry is in the store; a heartbeat takes longer. */
    private static final long REGISTER_AFTER_MS = 800;
    private static final long END_MS = 60_000;

    private final Record record;
    private final Map<String, String> labelOf = new ConcurrentHashMap<>();
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger started = new AtomicInteger();
    private final Set<String> done = ConcurrentHashMap.newKeySet();

    private RebornKind(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Record record = new Record(Path.of(args[0]))) {
            exit = new RebornKind(record).run(hasTrouble);
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
            return false;
        }

        @Override
        public void started(Minion minion, String task, long run, String checkpoint) {
            String label = labelOf.get(task.substring(0, task.indexOf('.')));
            boolean isAllowed = minion.labels.contains(label);
            started.incrementAndGet();
            if (!isAllowed) wrong.incrementAndGet();
            record.add("minion " + minion.id + " " + minion.labels + ": " + task + " run " + run + " starts, constraints \""
                + label + "\"" + (isAllowed ? "" : ": ROUTE is broken"));
        }

        @Override
        public void ended(Minion minion, String task, long run, String how) {
            if (how.equals("done")) done.add(task);
        }
    }

    private int run(boolean hasTrouble) throws Exception {
        Cluster.Route route = new Cluster.Route("stock-check", 0, 3, 1.5, 250);
        try (Cluster cluster = new Cluster(record, 3, List.of(route))) {
            Minion.Judge judge = new Subtasks();
            Minion[] minions = new Minion[MINIONS];
            for (int i = 0; i < MINIONS; i++) {
                minions[i] = minion("i-" + i, Http.freePort(), i % 2 == 0 ? "a" : "b", cluster, judge, 0);
            }
            Cluster.sleep(1_500);
            long startedAtNs = System.nanoTime();
            long nextCrashMs = FIRST_CRASH_MS;
            int crashes = 0;
            for (int number = 0; ; number++) {
                long nowMs = (System.nanoTime() - startedAtNs) / 1_000_000;
                if (nowMs > END_MS) break;
                if (hasTrouble && nowMs >= nextCrashMs) {
                    int victim = crashes++ % MINIONS;
                    Minion former = minions[victim];
                    record.add("minion " + former.id + " " + former.labels + " crashes");
                    former.crash();
                    String kind = former.labels.contains("a") ? "b" : "a";
                    Http.THREADS.submit(() -> {
                        Cluster.sleep(DOWN_MS);
                        minions[victim] = minion(former.id, former.port, kind, cluster, judge, REGISTER_AFTER_MS);
                        record.add("minion " + former.id + " " + minions[victim].labels + " is up");
                        return null;
                    });
                    nextCrashMs += CRASH_PERIOD_MS;
                }
                String id = String.format("5c0e7a21%08x", number);
                String label = number % 2 == 0 ? "a" : "b";
                labelOf.put(id, label);
                cluster.submit(route, id, "{\"spec\":\"check\",\"phases\":[{\"replicas\":2,\"cpu\":2800,\"mem_mb\":500,"
                    + "\"estimate_ms\":" + WORK_MS + ",\"constraints\":\"" + label + "\"}]}");
                Cluster.sleep(SUBMIT_PERIOD_MS);
            }
            record.add(wrong.get() + " of " + started.get() + " starts on a minion without the label; " + done.size()
                + " subtasks are done");
            if (done.isEmpty()) return 2;
            return wrong.get() > 0 ? 1 : 0;
        }
    }

    private static Minion minion(String id, int port, String kind, Cluster cluster, Minion.Judge judge, long registerAfterMs)
        throws Exception {
        return new Minion(id, port, List.of(kind, "r1-0"), 16_000, 32_768, cluster.store, judge, registerAfterMs);
    }
}
