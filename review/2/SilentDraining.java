import java.nio.file.Path;

/**
 * A minion that drains is cut off from the store for five seconds, while a subtask is at work on it.
 *
 * First there is room on the other minions, then there is none. The rule of the case is about the first part; the second
 * one shows what becomes of the submission if its subtask cannot start elsewhere at once.
 */
final class SilentDraining {
    private static final int MINIONS = 16;
    private static final int NODES = 3;
    private static final long WORK_MS = 9_000;
    private static final long FILLER_WORK_MS = 16_000;
    private static final long DRAINS_AFTER_MS = 2_000;
    private static final long LEAVES_AFTER_MS = 9_000;
    private static final long CUT_MS = 5_000;
    private static final long PART_MS = 45_000;
    private static final long STATE_PERIOD_MS = 250;

    /** A submission is lost if nothing of it runs for 3 s although its turn has come, after 4 calm seconds. */
    private static final long LOST_MS = 7_000;
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
            record.line("first part: there is room on the other minions");
            status = test.playPart(0);
            record.line("second part: all other minions are full");
            test.playPart(MINIONS - 2);
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

    /** Returns 1 if TWICE was broken, 0 if it held, 2 if the part could not be played. */
    private int playPart(int fillers) throws Exception {
        String id = deployment.newJobId();
        if (!deployment.submit(id, wholeMinion(WORK_MS))) return 2;
        for (int i = 0; i < fillers; i++) {
            if (!deployment.submit(deployment.newJobId(), wholeMinion(FILLER_WORK_MS))) return 2;
        }
        String task = id + ".0.0.0";
        long startedAtMs = Record.nowMs();
        long lastMs = startedAtMs;
        long notWaitingMs = startedAtMs;
        long nextStateMs = startedAtMs;
        long bothMs = 0;
        boolean isDraining = false;
        String state = "";
        while (Record.nowMs() - startedAtMs < PART_MS && !state.equals("completed")) {
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
            int busy = deployment.minions.stream().mapToInt(Minion::running).sum();
            if (running > 0 || 2 * busy >= MINIONS) notWaitingMs = lastMs;
            if (lastMs >= nextStateMs) {
                nextStateMs = lastMs + STATE_PERIOD_MS;
                String now = deployment.stateOf(id);
                if (!now.isEmpty() && !now.equals(state)) record.line("GET " + id + " -> " + now);
                if (!now.isEmpty()) state = now;
            }
            Thread.sleep(20);
        }
        if (!isDraining) return 2;
        long waitsMs = Record.nowMs() - notWaitingMs;
        record.line("the subtask ran twice at the same time for " + bothMs + " ms");
        record.line("TWICE: " + (bothMs > 0 ? "broken" : "holds"));
        boolean isLost = !state.equals("completed") && waitsMs > LOST_MS;
        record.line("LOST: " + (isLost ? "broken, shown as `" + state + "`; it has not run for " + waitsMs
            + " ms, while over half of the minions were idle" : "holds"));
        if (bothMs == 0 && !state.equals("completed")) return 2;
        return bothMs > 0 ? 1 : 0;
    }
}
