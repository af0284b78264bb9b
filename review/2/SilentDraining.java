import java.nio.file.Path;

/** A minion that drains is cut off from the store for five seconds, while a subtask is at work on it. */
final class SilentDraining {
    private static final int MINIONS = 16;
    private static final int NODES = 3;
    private static final long WORK_MS = 9_000;
    private static final long DRAINS_AFTER_MS = 2_000;
    private static final long LEAVES_AFTER_MS = 9_000;
    private static final long CUT_MS = 5_000;
    private static final long CASE_MS = 60_000;

    private SilentDraining() { }

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

    private static int play(Deployment deployment, Record record, boolean isDisturbed) throws Exception {
        String id = deployment.newJobId();
        String body = "{\"spec\":\"work=" + WORK_MS + "\",\"phases\":[{\"replicas\":1,\"cpu\":4000,\"mem_mb\":4096,"
            + "\"estimate_ms\":" + WORK_MS + "}]}";
        if (!deployment.submit(id, body)) return 2;
        String task = id + ".0.0.0";
        long startedAtMs = Record.nowMs();
        boolean isDraining = false;
        long bothMs = 0;
        long lastMs = Record.nowMs();
        String state = "";
        while (Record.nowMs() - startedAtMs < CASE_MS && !state.equals("completed")) {
            Minion drained = deployment.minions.stream()
                .filter(minion -> minion.runTimeMs(task) >= DRAINS_AFTER_MS).findFirst().orElse(null);
            if (!isDraining && drained != null) {
                isDraining = true;
                drained.drain(LEAVES_AFTER_MS);
                if (isDisturbed) drained.cutFromStore(CUT_MS);
            }
            long running = deployment.minions.stream().filter(minion -> minion.runs(task)).count();
            if (running > 1) {
                bothMs += Record.nowMs() - lastMs;
                record.lineSeldom("twice", "TWICE: " + task + " runs on " + running + " minions that are up");
            }
            lastMs = Record.nowMs();
            if (Record.nowMs() - startedAtMs > WORK_MS) {
                String now = deployment.stateOf(id);
                if (!now.isEmpty() && !now.equals(state)) record.line("GET " + id + " -> " + now);
                if (!now.isEmpty()) state = now;
            }
            Thread.sleep(20);
        }
        if (!isDraining) return 2;
        record.line("the subtask ran twice at the same time for " + bothMs + " ms");
        record.line("TWICE: " + (bothMs > 0 ? "broken" : "holds"));
        if (bothMs == 0 && !state.equals("completed")) return 2;
        return bothMs > 0 ? 1 : 0;
    }
}
