import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The leader freezes for 3.5 s, in which more than 500 short subtasks end on one minion. */
final class UnreadEnds {
    private static final int MINIONS = 8;
    private static final int NODES = 9;
    private static final int SUBMISSIONS = 60;
    private static final int REPLICAS = 20;
    private static final int CLIENTS = 6;
    /** All subtasks end about this time after the first submission. */
    private static final long ENDS_AT_MS = 6_000;
    private static final long FREEZES_BEFORE_MS = 300;
    private static final int RUNNING_ON_A_MINION = 600;
    private static final long FREEZE_MS = 3_500;
    private static final long CASE_MS = 60_000;

    private UnreadEnds() { }

    public static void main(String[] arguments) throws Exception {
        boolean isDisturbed = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        int status;
        try (Deployment deployment = new Deployment(record)) {
            deployment.start(MINIONS, 32_000, NODES, 3, false);
            status = play(deployment, record, isDisturbed);
            record.line("log events of the processes: " + deployment.events());
        } catch (Exception failure) {
            record.line("the case could not run: " + failure);
            status = 2;
        }
        record.line("exit " + status);
        System.exit(status);
    }

    private static int play(Deployment deployment, Record record, boolean isDisturbed) throws Exception {
        Set<String> done = ConcurrentHashMap.newKeySet();
        Set<String> startedAgain = ConcurrentHashMap.newKeySet();
        for (Minion minion : deployment.minions) {
            minion.observe(task -> {
                if (!done.contains(task)) return;
                startedAgain.add(task);
                record.lineSeldom("again", task + " starts on " + minion.id() + " after a run of it has ended `done`");
            }, done::add);
        }
        List<String> open = Collections.synchronizedList(new ArrayList<>());
        long startedAtMs = Record.nowMs();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = new Thread(() -> submitAll(deployment, startedAtMs + ENDS_AT_MS, open));
            clients.add(client);
            client.start();
        }
        if (isDisturbed) {
            Thread.sleep(ENDS_AT_MS - FREEZES_BEFORE_MS);
            if (mostRunning(deployment) < RUNNING_ON_A_MINION) return 2;
            Deployment.Node leader = deployment.leader();
            leader.signal("STOP");
            record.line("process " + leader.name + ", the leader, freezes for " + FREEZE_MS + " ms; on one minion run "
                + mostRunning(deployment));
            Thread.sleep(FREEZE_MS);
            leader.signal("CONT");
            record.line("process " + leader.name + " wakes");
        }
        for (Thread client : clients) client.join();
        while (Record.nowMs() - startedAtMs < CASE_MS && !open.isEmpty()) {
            open.removeIf(id -> deployment.stateOf(id).equals("completed"));
            Thread.sleep(500);
        }
        record.line("submissions that are not shown as completed: " + open.size());
        long twice = startedAgain.stream()
            .filter(task -> deployment.minions.stream().anyMatch(minion -> minion.isNoted(task))).count();
        record.line("subtasks that started after a run had ended `done`, whose end is taken note of: " + twice);
        record.line("TWICE: " + (twice > 0 ? "broken" : "holds"));
        return twice > 0 ? 1 : 0;
    }

    private static void submitAll(Deployment deployment, long endsAtMs, List<String> open) {
        try {
            for (int i = 0; i < SUBMISSIONS / CLIENTS; i++) {
                long workMs = endsAtMs - Record.nowMs();
                String body = "{\"spec\":\"work=" + workMs + "\",\"phases\":[{\"replicas\":" + REPLICAS
                    + ",\"cpu\":25,\"mem_mb\":64,\"estimate_ms\":" + workMs + "}]}";
                String id = deployment.newJobId();
                if (deployment.submit(id, body)) open.add(id);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static int mostRunning(Deployment deployment) {
        return deployment.minions.stream().mapToInt(Minion::running).max().orElse(0);
    }
}
