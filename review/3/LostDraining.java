import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A minion that drains is cut off from the store for five seconds, while all others are full. */
final class LostDraining {
    private static final int MINIONS = 16;
    private static final int NODES = 3;
    private static final long WORK_MS = 12_000;
    private static final long FILLER_WORK_MS = 20_000;
    private static final long DRAINS_AFTER_MS = 2_000;
    private static final long LEAVES_AFTER_MS = 9_000;
    private static final long CUT_MS = 5_000;
    private static final long CASE_MS = 60_000;

    /** A submission is lost if nothing of it runs for 3 s although its turn has come, in a calm time of 7 s. */
    private static final long LOST_MS = 7_000;

    private LostDraining() { }

    public static void main(String[] arguments) throws Exception {
        boolean isDisturbed = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        int status;
        try (Deployment deployment = new Deployment(record)) {
            deployment.start(MINIONS, 32_000, NODES, 2, true);
            status = play(deployment, record, isDisturbed);
            record.line("log events of the processes: " + deployment.events());
        } catch (Exception failure) {
            record.line("the case could not run: " + failure);
            status = 2;
        }
        record.line("exit " + status);
        System.exit(status);
    }

    private static String wholeMinion(long workMs) {
        return "{\"spec\":\"work=" + workMs + "\",\"phases\":[{\"replicas\":1,\"cpu\":32000,\"mem_mb\":4096,"
            + "\"estimate_ms\":" + workMs + "}]}";
    }

    private static int play(Deployment deployment, Record record, boolean isDisturbed) throws Exception {
        String id = deployment.newJobId();
        if (!deployment.submit(id, wholeMinion(WORK_MS))) return 2;
        List<String> fillers = new ArrayList<>();
        for (int i = 1; i < MINIONS; i++) {
            fillers.add(deployment.newJobId());
            if (!deployment.submit(fillers.get(i - 1), wholeMinion(FILLER_WORK_MS))) return 2;
        }
        String task = id + ".0.0.0";
        long startedAtMs = Record.nowMs();
        long idleSinceMs = 0;
        boolean isDraining = false;
        String state = "";
        while (Record.nowMs() - startedAtMs < CASE_MS && !state.equals("completed")) {
            Minion drained = deployment.minions.stream()
                .filter(minion -> minion.runTimeMs(task) >= DRAINS_AFTER_MS).findFirst().orElse(null);
            if (!isDraining && drained != null) {
                isDraining = true;
                drained.drain(isDisturbed ? CUT_MS : 0, LEAVES_AFTER_MS);
            }
            boolean isRunning = deployment.minions.stream().anyMatch(minion -> minion.runs(task));
            int busy = deployment.minions.stream().mapToInt(Minion::running).sum();
            if (isRunning || 2 * busy >= MINIONS) idleSinceMs = Record.nowMs();
            String now = deployment.stateOf(id);
            if (!now.isEmpty() && !now.equals(state)) record.line("GET " + id + " -> " + now);
            if (!now.isEmpty()) state = now;
            if (Record.nowMs() - idleSinceMs > LOST_MS + 10_000) break;
            Thread.sleep(100);
        }
        if (!isDraining) return 2;
        long idleMs = Record.nowMs() - idleSinceMs;
        boolean isLost = !state.equals("completed") && idleMs > LOST_MS;
        if (isLost) record.line("GET " + id + " -> " + state + "; nothing of it has run for " + idleMs
            + " ms, while over half of the minions have been idle");
        record.line("LOST: " + (isLost ? "broken" : "holds"));
        return isLost ? 1 : 0;
    }
}
