import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A route is added, and clients hand in submissions there whose ids have capital hexadecimal digits.
 *
 * The rule CONFIG is broken if a request that is sent later than `apply_ms` after the confirmation is refused with 404.
 */
final class UpperCaseIds {
    private static final long APPLY_MS = 2_000;
    private static final int SUBMISSIONS = 12;

    private UpperCaseIds() {}

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Record record = new Record(Path.of(args[0]))) {
            exit = run(record, hasTrouble);
            record.add("exit " + exit);
        } catch (Exception failure) {
            failure.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private static int run(Record record, boolean hasTrouble) throws Exception {
        Set<String> done = ConcurrentHashMap.newKeySet();
        Minion.Judge judge = new Minion.Judge() {
            @Override
            public long workMs(String task) {
                return 500;
            }

            @Override
            public boolean isCheckpointable(String task) {
                return false;
            }

            @Override
            public void ended(Minion minion, String task, long run, String how) {
                record.add("minion " + minion.id + ": " + task + " run " + run + " ends " + how);
                if (how.equals("done")) done.add(task);
            }
        };
        Cluster.Route first = new Cluster.Route("exposure-render", 1, 2, 2.2, 1000);
        Cluster.Route added = new Cluster.Route("stock-check", 0, 3, 1.5, 250);
        int refused = 0;
        int accepted = 0;
        try (Cluster cluster = new Cluster(record, 3, List.of(first))) {
            new Minion("i-0", Http.freePort(), List.of("a", "r1-0"), 16_000, 32_768, cluster.store, judge, 0);
            Cluster.sleep(1_500);
            cluster.putConfig(2, List.of(first, added));
            record.add("operator: version 2 of the config, with " + added.prefix() + ", is confirmed");
            Cluster.sleep(APPLY_MS + 1_000);
            for (int i = 0; i < SUBMISSIONS; i++) {
                String id = String.format("5c0e7a21d94b%04x", i);
                if (hasTrouble && i % 2 == 1) id = id.toUpperCase(Locale.ROOT);
                HttpResponse<String> answer = cluster.call(i % 3, "POST", added.prefix() + id,
                    "{\"spec\":\"check\",\"phases\":[{\"replicas\":1,\"cpu\":500,\"mem_mb\":500,\"estimate_ms\":500}]}");
                int status = answer == null ? 0 : answer.statusCode();
                record.add("client: POST " + added.prefix() + id + " -> " + status);
                if (status == 404) refused++;
                if (status == 200) accepted++;
                Cluster.sleep(200);
            }
            Cluster.sleep(3_000);
        }
        record.add(refused + " of " + SUBMISSIONS + " requests were refused with 404; " + accepted + " were accepted, and "
            + done.size() + " subtasks are done" + (refused > 0 ? ": CONFIG is broken" : ""));
        if (accepted == 0 || done.size() < accepted) return 2;
        return refused > 0 ? 1 : 0;
    }
}
