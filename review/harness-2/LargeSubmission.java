import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One submission with many checkpointable subtasks, and small submissions of another queue beside it.
 *
 * Broken are: MIXED, if a process gives as `num_waiting` under half of the submissions that were accepted more than
 * `visible_ms` + 2 s before and haven't begun, and the rule on acks, if more than a fifth of the ends that minions list
 * aren't taken note of after `ack_ms`.
 */
final class LargeSubmission {
    private static final int MINIONS = 8;
    private static final int LARGE_SUBTASKS = 3_600;
    private static final long LARGE_WORK_MS = 70_000;
    private static final long SHORT_WORK_MS = 8_000;
    /** Every so many subtasks one is short. */
    private static final int SHORT_EVERY = 100;
    private static final int WAITING = 10;
    private static final long SUBMIT_WAITING_AT_MS = 15_000;
    private static final long VISIBLE_MS = 3_000 + 2_000;
    private static final long ACK_MS = 4_000;
    private static final long LOOK_UNTIL_MS = 40_000;
    private static final String LARGE_ID = "5c0e7a21d94b36f8";

    private final Record record;
    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicInteger acknowledged = new AtomicInteger();
    private final AtomicInteger started = new AtomicInteger();
    private final AtomicInteger startedOfWaiting = new AtomicInteger();
    private volatile long lastShortEndNs;

    private LargeSubmission(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Record record = new Record(Path.of(args[0]))) {
            exit = new LargeSubmission(record).run(hasTrouble);
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
            int index = Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
            return index % SHORT_EVERY == 0 ? SHORT_WORK_MS : LARGE_WORK_MS;
        }

        @Override
        public boolean isCheckpointable(String task) {
            return task.startsWith(LARGE_ID);
        }

        @Override
        public void started(Minion minion, String task, long run, String checkpoint) {
            if (!task.startsWith("b")) {
                if (started.incrementAndGet() % 200 == 0) record.add(started.get() + " subtasks run");
                return;
            }
            startedOfWaiting.incrementAndGet();
            record.add("minion " + minion.id + ": " + task + " run " + run + " starts");
        }

        @Override
        public void ended(Minion minion, String task, long run, String how) {
            ended.incrementAndGet();
            lastShortEndNs = System.nanoTime();
            record.add("minion " + minion.id + ": " + task + " run " + run + " ends " + how);
        }

        @Override
        public void acknowledged(Minion minion, String task, long run, String how) {
            acknowledged.incrementAndGet();
            record.add("minion " + minion.id + ": end of " + task + " run " + run + " is taken note of");
        }
    }

    private int run(boolean hasTrouble) throws Exception {
        Cluster.Route renders = new Cluster.Route("exposure-render", 1, 2, 2.2, 1000);
        Cluster.Route layouts = new Cluster.Route("sheet-layout", 2, 3, 4.0, 3000);
        try (Cluster cluster = new Cluster(record, 3, List.of(renders, layouts))) {
            Minion.Judge judge = new Subtasks();
            for (int i = 0; i < MINIONS; i++) {
                new Minion("i-" + i, Http.freePort(), List.of("a", "r1-" + i % 2), 16_000, 32_768, cluster.store, judge, 0);
            }
            Cluster.sleep(1_500);
            long startedAtNs = System.nanoTime();
            if (hasTrouble) {
                cluster.submit(renders, LARGE_ID, body(LARGE_SUBTASKS, 30, 50, true));
            } else {
                // The same load in small submissions.
                for (int i = 0; i < LARGE_SUBTASKS / 100; i++) {
                    cluster.submit(renders, String.format("5c0e7a21d94b%04x", i), body(100, 30, 50, true));
                }
            }
            sleepUntil(startedAtNs, SUBMIT_WAITING_AT_MS);
            for (int i = 0; i < WAITING; i++) {
                cluster.submit(layouts, String.format("b40e7a21d94b%04x", i), body(1, 16_000, 1_000, false));
            }
            Cluster.sleep(VISIBLE_MS + 500);
            return judge(cluster, layouts, startedAtNs);
        }
    }

    private static String body(int replicas, int cpu, int memMb, boolean isCheckpointable) {
        return "{\"spec\":\"render\",\"phases\":[{\"replicas\":" + replicas + ",\"cpu\":" + cpu + ",\"mem_mb\":" + memMb
            + ",\"estimate_ms\":" + LARGE_WORK_MS + (isCheckpointable ? ",\"checkpointable\":true" : "") + "}]}";
    }

    private static void sleepUntil(long startedAtNs, long atMs) {
        Cluster.sleep(Math.max(0, atMs - (System.nanoTime() - startedAtNs) / 1_000_000));
    }

    private int judge(Cluster cluster, Cluster.Route layouts, long startedAtNs) {
        int wrong = 0;
        int looks = 0;
        List<Long> seen = new ArrayList<>();
        while ((System.nanoTime() - startedAtNs) / 1_000_000 < LOOK_UNTIL_MS) {
            int waiting = WAITING - startedOfWaiting.get();
            long shown = cluster.waitingOf(looks % 3, layouts);
            record.add("client: GET " + layouts.prefix() + " -> num_waiting " + shown + "; " + waiting
                + " submissions have been accepted for over " + VISIBLE_MS + " ms and haven't begun");
            if (shown >= 0) looks++;
            if (shown >= 0 && 2 * shown < waiting) wrong++;
            seen.add(shown);
            Cluster.sleep(1_000);
        }
        boolean isAckStretch = (System.nanoTime() - lastShortEndNs) / 1_000_000 > ACK_MS;
        int open = ended.get() - acknowledged.get();
        record.add("num_waiting was wrong in " + wrong + " of " + looks + " looks; " + open + " of " + ended.get()
            + " ends are not taken note of" + (isAckStretch ? " " + ACK_MS + " ms after the last of them" : ""));
        if (looks == 0 || ended.get() == 0) return 2;
        return wrong > 0 || isAckStretch && 5 * open > ended.get() ? 1 : 0;
    }
}
