import java.nio.file.Path;

/** A minion that drains is cut off from the store for five seconds, while a subtask is at work on it. */
final class SilentDraining {
    private static final int MINIONS = 16;
    private static final int NODES = 3;
    private static final long WORK_MS = 9_000;
    private static final long DRAINS_AFTER_MS = 2_000;
    private static final long LEAVES_AFTER_MS = 9_000;
    private static final long CUT_MS = 5_000;
    private static final long CASE_MS = 45_000;
    private static final long STATE_PERIOD_MS = 250;
    private static final int MILLICORES = 32_000;

    private final Deployment deployment;
    private final Record record;
    private final boolean isDisturbed;

    private SilentDraining(Deployment deployment, Record record, boolean isDisturbed) {
        this.deployment = deployment;
        this.record = record;
        this.isDisturbed = isDisturbed;
    }

    public static void main(String[] arguments) throws Exception {
        boolean isDisturbed = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        int status;
        try (Deployment deployment = new Deployment(record)) {
            deployment.start(MINIONS, MILLICORES, NODES, 2, true);
            SilentDraining test = new SilentDraining(deployment, record, isDisturbed);
            status = test.play();
            record.line("log events of the processes: " + deployment.events());
        } catch (Exception failure) {
            record.line("the case could not run: " + failure);
            status = 2;
        }
        record.line("exit " + status);
        System.exit(status);
    }

    private static String wholeMinion(long workMs) {
        return "{\"spec\":\"work=" + workMs + "\",\"phases\":[{\"replicas\":1,\"cpu\":" + MILLICORES
            + ",\"mem_mb\":4096,\"estimate_ms\":" + workMs + "}]}";
    }

    private int play() throws Exception {
        String id = deployment.newJobId();
        if (!deployment.submit(id, wholeMinion(WORK_MS))) return 2;
        String task = id + ".0.0.0";
        long startedAtMs = Record.nowMs();
        long lastMs = startedAtMs;
        long nextStateMs = startedAtMs;
        long bothMs = 0;
        boolean isDraining = false;
        String state = "";
        while (Record.nowMs() - startedAtMs < CASE_MS && !state.equals("completed")) {
            Minion drained = deployment.minions.stream()
                .filter(minion -> minion.runTimeMs(task) >= DRAINS_AFTER_MS).findFirst().orElse(null);
            if (!isDraining && drained != null) {
                isDraining = true;
                drained.drain(isDisturbed ? CUT_MS : 0, LEAVES_AFTER_MS);
            }
            long running = deployment.minions.stream().filter(minion -> minion.runs(task)).count();
            if (running > 1) {
                bothMs += Record.nowMs() - lastMs;
                record.lineSeldom("twice", "TWICE: " + task + " runs on " + running + " minions that are up");
            }
            lastMs = Record.nowMs();
            if (lastMs >= nextStateMs) {
                nextStateMs = lastMs + STATE_PERIOD_MS;
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
