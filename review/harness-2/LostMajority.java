import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Two of three processes, the leader among them, and one of eight minions are lost for good at the same moment; two
 * new processes come at other addresses.
 *
 * The rule LOST is broken if, `finish_s` after the last submission was handed in and later, a submission has nothing
 * running for 3 s although the other minions have room for it twice over and are less than half in use.
 */
final class LostMajority {
    private static final int MINIONS = 8;
    private static final int SUBMISSIONS = 16;
    private static final long WORK_MS = 25_000;
    private static final long LOSS_MS = 6_000;
    private static final long REPLACED_AFTER_MS = 2_000;
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;
    private static final long END_MS = 60_000;

    private final Record record;

    /** The minion of each subtask that runs. */
    private final Map<String, Minion> runs = new ConcurrentHashMap<>();
    private final Map<String, Boolean> done = new ConcurrentHashMap<>();
    private final Map<String, Long> idleSinceNs = new ConcurrentHashMap<>();

    private LostMajority(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Record record = new Record(Path.of(args[0]))) {
            exit = new LostMajority(record).run(hasTrouble);
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
            runs.put(task, minion);
            idleSinceNs.remove(task);
            record.add("minion " + minion.id + ": " + task + " run " + run + " starts");
        }

        @Override
        public void ended(Minion minion, String task, long run, String how) {
            runs.remove(task, minion);
            if (how.equals("done")) done.put(task, true);
            else idleSinceNs.put(task, System.nanoTime());
            record.add("minion " + minion.id + ": " + task + " run " + run + " ends " + how);
        }
    }

    private int run(boolean hasTrouble) throws Exception {
        Cluster.Route route = new Cluster.Route("sheet-layout", 2, 3, 4.0, 3000);
        try (Cluster cluster = new Cluster(record, 3, List.of(route))) {
            Minion.Judge judge = new Subtasks();
            Minion[] minions = new Minion[MINIONS];
            for (int i = 0; i < MINIONS; i++) {
                minions[i] = new Minion("i-" + i, Http.freePort(), List.of("a", "r1-" + i % 2), 16_000, 32_768,
                    cluster.store, judge, 0);
            }
            Cluster.sleep(1_500);
            for (int i = 0; i < SUBMISSIONS; i++) {
                cluster.submit(route, idOf(i), "{\"spec\":\"layout\",\"phases\":[{\"replicas\":1,\"cpu\":3000,"
                    + "\"mem_mb\":1000,\"estimate_ms\":" + WORK_MS + "}]}");
            }
            long startedAtNs = System.nanoTime();
            Cluster.sleep(LOSS_MS);
            if (hasTrouble) lose(cluster, minions);
            return watch(cluster, route, startedAtNs);
        }
    }

    private static String idOf(int number) {
        return String.format("5c0e7a21d94b%04x", number);
    }

    private static String taskOf(int number) {
        return idOf(number) + ".0.0.0";
    }

    private void lose(Cluster cluster, Minion[] minions) {
        int leader = cluster.leader();
        Minion minion = runs.values().iterator().next();
        record.add("process " + (leader + 1) + " leads");
        cluster.kill(leader);
        cluster.kill((leader + 1) % 3);
        record.add("minion " + minion.id + " crashes with " + minion.runningCount() + " runs, and is lost for good");
        minion.crash();
        for (Map.Entry<String, Minion> run : runs.entrySet()) {
            if (run.getValue() == minion && runs.remove(run.getKey(), minion)) {
                idleSinceNs.put(run.getKey(), System.nanoTime());
            }
        }
        // The platform starts new machines in place of the lost ones.
        Http.THREADS.submit(() -> {
            Cluster.sleep(REPLACED_AFTER_MS);
            cluster.start("front-4");
            cluster.start("front-5");
            return null;
        });
        // The platform removes the entry after three intervals of silence.
        Http.THREADS.submit(() -> {
            Cluster.sleep(3 * Minion.HEARTBEAT_MS);
            cluster.store.put("servers", minion.id, null);
            record.add("the entry of minion " + minion.id + " is removed");
        });
    }

    private int watch(Cluster cluster, Cluster.Route route, long startedAtNs) {
        int waiting = 0;
        int recorded = 0;
        while ((System.nanoTime() - startedAtNs) / 1_000_000 < END_MS && done.size() < SUBMISSIONS) {
            Cluster.sleep(1_000);
            long nowNs = System.nanoTime();
            if ((nowNs - startedAtNs) / 1_000_000 < FINISH_MS) continue;
            waiting = 0;
            for (int i = 0; i < SUBMISSIONS; i++) {
                Long sinceNs = idleSinceNs.get(taskOf(i));
                if (sinceNs != null && (nowNs - sinceNs) / 1_000_000 > IDLE_MS) waiting++;
            }
            if (waiting != recorded) {
                record.add(waiting + " submissions have had nothing running for over " + IDLE_MS + " ms; " + runs.size()
                    + " subtasks of 3 cores run on " + (MINIONS - 1) + " minions of 16 cores");
            }
            recorded = waiting;
        }
        for (int i = 0; i < SUBMISSIONS; i++) {
            String shown = "";
            for (int node = 0; node < cluster.size() && shown.isEmpty(); node++) shown = cluster.stateOf(node, route, idOf(i));
            record.add("client: GET " + route.prefix() + idOf(i) + " -> " + shown);
        }
        record.add(done.size() + " of " + SUBMISSIONS + " submissions have run to their end" + (waiting > 0
            ? ", and " + waiting + " have nothing running: LOST is broken" : ""));
        if (done.isEmpty()) return 2;
        return waiting > 0 ? 1 : 0;
    }
}
